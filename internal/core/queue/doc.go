// Package queue decides the order in which one agent's requests run.
//
// Tiers go strictly from the highest to the lowest, but for the floor share
// that each waiting class gets, so that none starves. Classes of one tier go
// by slack to their latency target. Inside a class the organisations take
// turns, charged by the tokens that were really produced. Requests that can
// still meet their target go before those that are late.
//
// # Usage
//
//	q := queue.New(queue.Policy{})
//	q.Push(now, item)
//	choice, ok := q.Pop(now)
//	q.Settle(choice.Item, tokens) // when it ends
package queue
