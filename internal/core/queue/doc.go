// Package queue implements the scheduling order of the requests at one agent.
//
// Tiers have strict priority, except that each waiting class receives a floor
// share, so that no class starves. Within a tier, classes are ordered by slack to
// their latency target. Within a class, weighted fair queueing divides the
// capacity between organisations; each is charged for the tokens that its requests
// really produced. Requests that can still meet their target run before late ones.
//
// # Usage
//
//	q := queue.New(queue.Policy{})
//	q.Push(item)
//	choice, ok := q.Pop(now, floor)
//	q.Settle(choice.Item, tokens) // when the request ends
package queue
