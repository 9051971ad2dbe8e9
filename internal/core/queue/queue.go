package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// smoothing is the weight of a new observation in a moving average.
const smoothing = 0.05

// maxCredit bounds the accrued floor credit of a class, in responses.
const maxCredit = 2

// Policy selects the scheduling order. The zero value is the production policy.
type Policy struct {
	// FIFO runs requests in order of arrival only. It is the baseline in
	// comparisons.
	FIFO bool
	// Phase, from 0 to 1, is the initial floor credit of each class, as a fraction
	// of one response. Different phases at the agents of a pool spread the runs on
	// floor shares over time.
	Phase float64
	// NoFairQueueing disables fair queueing between the organisations of a class. It is
	// used in comparisons.
	NoFairQueueing bool
}

// Queue holds the waiting requests of one agent. It is not safe for concurrent
// use.
type Queue struct {
	policy  Policy
	classes map[string]*classQueue
	// order holds the classes by tier, then name.
	order []*classQueue
	items map[string]*Item
}

// Choice is the request to run next.
type Choice struct {
	Item *Item
	// Floor is true if the request uses the floor share of its class.
	Floor bool
}

// New returns an empty queue.
func New(p Policy) *Queue {
	return &Queue{
		policy:  p,
		classes: make(map[string]*classQueue),
		items:   make(map[string]*Item),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// LenClass returns the number of waiting requests of a class.
func (q *Queue) LenClass(class string) int {
	if cq, ok := q.classes[class]; ok {
		return cq.len()
	}
	return 0
}

// Get returns the waiting request with the given ID.
func (q *Queue) Get(id string) (*Item, bool) {
	it, ok := q.items[id]
	return it, ok
}

// All returns the waiting requests, ordered by tier, class and arrival.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, cq := range q.order {
		from := len(all)
		all = append(all, cq.byArrival.items...)
		slices.SortFunc(all[from:], func(a, b *Item) int {
			return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
		})
	}
	return all
}

func (q *Queue) class(c *config.Class) *classQueue {
	cq, ok := q.classes[c.Name]
	if !ok {
		cq = newClassQueue(c)
		cq.credit = q.policy.Phase * cq.meanTokens
		q.classes[c.Name] = cq
		q.order = append(q.order, cq)
	}
	if !ok || cq.class != c {
		cq.class = c
		slices.SortFunc(q.order, compareQueues)
	}
	return cq
}

func compareQueues(a, b *classQueue) int {
	if a.class.Tier != b.class.Tier {
		return a.class.Tier - b.class.Tier
	}
	if a.class.Name < b.class.Name {
		return -1
	}
	return 1
}

// Push adds a request. It ignores a request whose ID is already waiting.
func (q *Queue) Push(it *Item) {
	q.insert(it, false)
}

// Requeue returns a preempted request to the queue, ahead of the other requests of
// its organisation.
func (q *Queue) Requeue(it *Item) {
	q.insert(it, true)
}

func (q *Queue) insert(it *Item, front bool) {
	if _, waiting := q.items[it.ID]; waiting {
		return
	}
	it.late = false
	if q.policy.NoFairQueueing {
		it.Organisation = ""
		it.Weight = 1
	}
	q.items[it.ID] = it
	q.class(it.Class).push(it, front)
}

// Remove removes a request, for example after the caller disconnected.
func (q *Queue) Remove(id string) (*Item, bool) {
	it, ok := q.items[id]
	if !ok {
		return nil, false
	}
	delete(q.items, id)
	q.classes[it.Class.Name].remove(it)
	return it, true
}

// Pop removes and returns the next request. Floor shares are considered only if
// floor is true.
func (q *Queue) Pop(now time.Time, floor bool) (Choice, bool) {
	choice, ok := q.Peek(now, floor)
	if !ok {
		return Choice{}, false
	}
	cq := q.classes[choice.Item.Class.Name]
	a := choice.Item.owner
	q.Remove(choice.Item.ID)
	cq.pops++
	cq.vtime = max(cq.vtime, a.pass)
	choice.Item.charged = cq.meanTokens
	cq.charge(a, cq.meanTokens)
	if choice.Floor {
		cq.credit = max(0, cq.credit-cq.meanTokens)
	}
	if cq.pops%sweepInterval == 0 {
		cq.sweep()
	}
	return choice, true
}

// Peek returns the choice that Pop would make without removing the request.
func (q *Queue) Peek(now time.Time, floor bool) (Choice, bool) {
	if q.policy.FIFO {
		return q.oldest()
	}
	if cq := q.mostOwedClass(); floor && cq != nil {
		return Choice{Item: cq.head(now), Floor: true}, true
	}
	var best *Item
	for _, cq := range q.order {
		if cq.len() == 0 {
			continue
		}
		if best != nil && best.Class.Tier < cq.class.Tier {
			break
		}
		best = moreUrgent(now, best, cq.head(now))
	}
	return Choice{Item: best}, best != nil
}

// moreUrgent prefers requests that can still meet their target, then the smaller
// slack.
func moreUrgent(now time.Time, a, b *Item) *Item {
	switch {
	case a == nil:
		return b
	case a.late != b.late:
		if a.late {
			return b
		}
		return a
	case b.Slack(now) < a.Slack(now):
		return b
	default:
		return a
	}
}

// mostOwedClass returns the waiting class with the largest floor credit relative to
// its mean response, or nil if none has credit for one response.
func (q *Queue) mostOwedClass() *classQueue {
	var best *classQueue
	for _, cq := range q.order {
		if cq.len() == 0 || cq.credit < cq.meanTokens {
			continue
		}
		if best == nil || cq.credit/cq.meanTokens > best.credit/best.meanTokens {
			best = cq
		}
	}
	return best
}

func (q *Queue) oldest() (Choice, bool) {
	var best *Item
	for _, cq := range q.order {
		if cq.len() == 0 {
			continue
		}
		it := cq.byArrival.first()
		if best == nil || it.Arrived.Before(best.Arrived) {
			best = it
		}
	}
	return Choice{Item: best}, best != nil
}

// CreditFloorShares credits each waiting class with its floor share of the tokens that a
// running request produced.
func (q *Queue) CreditFloorShares(tokens int) {
	for _, cq := range q.order {
		if cq.len() == 0 {
			continue
		}
		earned := cq.class.FloorShare * float64(tokens)
		cq.credit = min(cq.credit+earned, maxCredit*cq.meanTokens)
	}
}

// Settle replaces the estimate that Pop charged by the tokens really produced. It
// must be called once for each Pop.
func (q *Queue) Settle(it *Item, tokens int) {
	cq := q.class(it.Class)
	a, ok := cq.accounts[it.Organisation]
	if !ok {
		a = cq.account(it.Organisation, it.Weight)
	}
	cq.charge(a, float64(tokens)-it.charged)
	it.charged = 0
}

// ObserveResponse updates the class's length estimates with the tokens of a completed
// response.
func (q *Queue) ObserveResponse(c *config.Class, tokens int) {
	cq := q.class(c)
	cq.meanTokens += smoothing * (float64(tokens) - cq.meanTokens)
	cq.meanTokens = max(cq.meanTokens, 1)
	if float64(tokens) > cq.tailTokens {
		cq.tailTokens *= 1 + smoothing*tailQuantile
	} else {
		cq.tailTokens *= 1 - smoothing*(1-tailQuantile)
	}
	cq.tailTokens = max(cq.tailTokens, 1)
}

// SetCopies updates the number of agents that hold a waiting request.
func (q *Queue) SetCopies(id string, n int) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	cq := q.classes[it.Class.Name]
	cq.expectedRuns -= it.expectedRuns()
	it.Copies = n
	cq.expectedRuns += it.expectedRuns()
}

// TailTokens returns an upper quantile of the tokens per response of the class.
func (q *Queue) TailTokens(c *config.Class) float64 {
	if cq, ok := q.classes[c.Name]; ok {
		return cq.tailTokens
	}
	return initialTailFactor * float64(c.ExpectedTokens)
}

// MeanTokens returns the moving average of the tokens per response of the class.
func (q *Queue) MeanTokens(c *config.Class) float64 {
	if cq, ok := q.classes[c.Name]; ok {
		return cq.meanTokens
	}
	return float64(c.ExpectedTokens)
}

// ExpectedAhead returns the expected number of requests, and of their tokens, that run at
// this agent before a new request of the tier.
func (q *Queue) ExpectedAhead(tier int) (requests, tokens float64) {
	for _, cq := range q.order {
		if q.policy.FIFO || cq.class.Tier <= tier {
			requests += cq.expectedRuns
			tokens += cq.expectedRuns * cq.meanTokens
		}
	}
	return requests, tokens
}

// WaitingAbove returns the number of waiting requests of tiers above the given one.
func (q *Queue) WaitingAbove(tier int) int {
	n := 0
	for _, cq := range q.order {
		if cq.class.Tier < tier {
			n += cq.len()
		}
	}
	return n
}

// RemoveExpired removes and returns the requests whose responses would arrive too late to
// be useful. Requests of protected classes stay, and so do preempted requests whose
// target is the first token.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	var out []*Item
	for _, cq := range q.order {
		if cq.class.Protected || q.policy.FIFO {
			continue
		}
		var begun []*Item
		for cq.len() > 0 && cq.byArrival.first().expired(now) {
			it := cq.byArrival.first()
			q.Remove(it.ID)
			if it.Produced > 0 && it.Class.FirstToken > 0 {
				begun = append(begun, it)
				continue
			}
			out = append(out, it)
		}
		for _, it := range begun {
			q.insert(it, true)
		}
	}
	return out
}

// EvictionCandidate returns the last request of the organisation with the largest finish
// tag, which is the one that exceeds its fair share the most. The request is the
// candidate for eviction.
func (q *Queue) EvictionCandidate(class string) (*Item, bool) {
	cq, ok := q.classes[class]
	if !ok || cq.byFinishTag.len() == 0 {
		return nil, false
	}
	a := cq.byFinishTag.first()
	for _, lane := range []int{onTime, late, resumed} {
		if a.items[lane].Len() > 0 {
			return a.items[lane].Back().Value.(*Item), true
		}
	}
	return nil, false
}

// Before reports whether newcomer would run before a waiting request of the same
// class, which must be the last one of its organisation.
func (q *Queue) Before(newcomer, waiting *Item) bool {
	cq := q.class(newcomer.Class)
	a := cq.account(newcomer.Organisation, newcomer.Weight)
	return a.finishTag(1, cq.tokensPerRequest()) < waiting.owner.finishTag(0, cq.tokensPerRequest())
}
