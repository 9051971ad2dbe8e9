package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// learnRate is the weight of a new observation in a learnt mean.
const learnRate = 0.05

// creditCap bounds what a class may save up, in answers.
const creditCap = 2

// Policy selects the order. The zero value is the product's own.
type Policy struct {
	// FIFO runs requests in order of arrival alone; the baseline.
	FIFO bool
	// Phase, from 0 to 1, is how much of one answer each class's floor share
	// starts with. Different phases at the agents of a pool spread the floor
	// shares' turns over time.
	Phase float64
	// NoTurns takes a class's requests in order of arrival instead of by
	// organisation; for comparison.
	NoTurns bool
}

// Queue holds the requests that wait at one agent. It is not safe for
// concurrent use.
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
	// Floor is true if the request runs on its class's floor share.
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

// Get returns a waiting request.
func (q *Queue) Get(id string) (*Item, bool) {
	it, ok := q.items[id]
	return it, ok
}

// All returns the waiting requests in order of class, then arrival.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, cq := range q.order {
		from := len(all)
		all = append(all, cq.byAge.items...)
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
		cq.credit = q.policy.Phase * cq.cost
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

// Push adds a request. One with the identity of a waiting request is ignored.
func (q *Queue) Push(it *Item) {
	q.insert(it, false)
}

// Return puts a preempted request back before its organisation's others.
func (q *Queue) Return(it *Item) {
	q.insert(it, true)
}

func (q *Queue) insert(it *Item, front bool) {
	if _, held := q.items[it.ID]; held {
		return
	}
	it.late = false
	if q.policy.NoTurns {
		it.Organisation = ""
		it.Weight = 1
	}
	q.items[it.ID] = it
	q.class(it.Class).push(it, front)
}

// Remove takes a request out, for example when the caller left.
func (q *Queue) Remove(id string) (*Item, bool) {
	it, ok := q.items[id]
	if !ok {
		return nil, false
	}
	delete(q.items, id)
	q.classes[it.Class.Name].remove(it)
	return it, true
}

// Pop takes the request that runs next. Without floor, floor shares that are
// due wait.
func (q *Queue) Pop(now time.Time, floor bool) (Choice, bool) {
	choice, ok := q.Next(now, floor)
	if !ok {
		return Choice{}, false
	}
	cq := q.classes[choice.Item.Class.Name]
	a := choice.Item.owner
	q.Remove(choice.Item.ID)
	cq.pops++
	cq.vtime = max(cq.vtime, a.pass)
	choice.Item.charged = cq.cost
	cq.charge(a, cq.cost)
	if choice.Floor {
		cq.credit = max(0, cq.credit-cq.cost)
	}
	if cq.pops%sweepEvery == 0 {
		cq.sweep()
	}
	return choice, true
}

// Next returns what Pop would take. Without floor, floor shares that are due
// wait.
func (q *Queue) Next(now time.Time, floor bool) (Choice, bool) {
	if q.policy.FIFO {
		return q.oldest()
	}
	if cq := q.due(); floor && cq != nil {
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

// moreUrgent prefers what can still be on time, then the smaller slack.
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

// due returns the class whose floor share is owed the most.
func (q *Queue) due() *classQueue {
	var best *classQueue
	for _, cq := range q.order {
		if cq.len() == 0 || cq.credit < cq.cost {
			continue
		}
		if best == nil || cq.credit/cq.cost > best.credit/best.cost {
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
		it := cq.byAge.first()
		if best == nil || it.Arrived.Before(best.Arrived) {
			best = it
		}
	}
	return Choice{Item: best}, best != nil
}

// Produced tells that a running request of the class made tokens; waiting
// classes earn their floor share of them.
func (q *Queue) Produced(tokens int) {
	for _, cq := range q.order {
		if cq.len() == 0 {
			continue
		}
		earned := cq.class.FloorShare * float64(tokens)
		cq.credit = min(cq.credit+earned, creditCap*cq.cost)
	}
}

// Settle charges what the request really took, in place of the estimate that
// Pop charged. It is called once for each Pop.
func (q *Queue) Settle(it *Item, tokens int) {
	cq := q.class(it.Class)
	a, ok := cq.accounts[it.Organisation]
	if !ok {
		a = cq.account(it.Organisation, it.Weight)
	}
	cq.charge(a, float64(tokens)-it.charged)
	it.charged = 0
}

// Learn takes a completed answer's tokens into the class's mean.
func (q *Queue) Learn(c *config.Class, tokens int) {
	cq := q.class(c)
	cq.cost += learnRate * (float64(tokens) - cq.cost)
	cq.cost = max(cq.cost, 1)
	if float64(tokens) > cq.long {
		cq.long *= 1 + learnRate*longQuantile
	} else {
		cq.long *= 1 - learnRate*(1-longQuantile)
	}
	cq.long = max(cq.long, 1)
}

// SetCopies tells how many agents hold a waiting request now.
func (q *Queue) SetCopies(id string, n int) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	cq := q.classes[it.Class.Name]
	cq.share -= it.share()
	it.Copies = n
	cq.share += it.share()
}

// Long returns the tokens that most answers of the class do not exceed.
func (q *Queue) Long(c *config.Class) float64 {
	if cq, ok := q.classes[c.Name]; ok {
		return cq.long
	}
	return firstLong * float64(c.ExpectedTokens)
}

// Cost returns the learnt mean of tokens of the class's answers.
func (q *Queue) Cost(c *config.Class) float64 {
	if cq, ok := q.classes[c.Name]; ok {
		return cq.cost
	}
	return float64(c.ExpectedTokens)
}

// Ahead returns the requests, and their tokens, that are expected to run here
// before a new request of the tier.
func (q *Queue) Ahead(tier int) (requests, tokens float64) {
	for _, cq := range q.order {
		if q.policy.FIFO || cq.class.Tier <= tier {
			requests += cq.share
			tokens += cq.share * cq.cost
		}
	}
	return requests, tokens
}

// WaitingAbove returns the number of requests of tiers above the given one.
func (q *Queue) WaitingAbove(tier int) int {
	n := 0
	for _, cq := range q.order {
		if cq.class.Tier < tier {
			n += cq.len()
		}
	}
	return n
}

// Expired takes out the requests that can no longer matter. Those of
// protected classes stay.
func (q *Queue) Expired(now time.Time) []*Item {
	var out []*Item
	for _, cq := range q.order {
		if cq.class.Protected || q.policy.FIFO {
			continue
		}
		var begun []*Item
		for cq.len() > 0 && cq.byAge.first().useless(now) {
			it := cq.byAge.first()
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

// Furthest returns the newest request of the organisation whose turn would be
// the furthest ahead after all it has waiting.
func (q *Queue) Furthest(class string) (*Item, bool) {
	cq, ok := q.classes[class]
	if !ok || cq.furthest.len() == 0 {
		return nil, false
	}
	a := cq.furthest.first()
	for _, lane := range []int{fresh, late, resumed} {
		if a.items[lane].Len() > 0 {
			return a.items[lane].Back().Value.(*Item), true
		}
	}
	return nil, false
}

// Before reports whether the newcomer's turn would come before that of a
// waiting request of the same class, which is its organisation's last.
func (q *Queue) Before(newcomer, waiting *Item) bool {
	cq := q.class(newcomer.Class)
	a := cq.account(newcomer.Organisation, newcomer.Weight)
	return a.tag(1, cq.unit()) < waiting.owner.tag(0, cq.unit())
}
