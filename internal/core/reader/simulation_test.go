package reader

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/fleet"
)

var t0 = time.Unix(1_800_000_000, 0)

// Durations in the simulation.
const (
	// storeLatency and peerLatency are the times that an answer takes, listLatency that
	// of a listing.
	storeLatency = 4 * time.Millisecond
	listLatency  = 12 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	// watchSlack is how long the answer to a watch may take beyond its wait, and
	// listTimeout how long a listing may take.
	watchSlack  = 700 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	// renewAfter is how much newer than a follower's a proof must be to be sent at once.
	renewAfter = 400 * time.Millisecond
	// heartbeatInterval is the interval between two heartbeats, which reach all gateways.
	heartbeatInterval = time.Second
)

// faultKind is a kind of fault that affects gateways.
type faultKind int

const (
	// silent: the store does not answer; refusing: it closes the connection.
	silent faultKind = iota
	refusing
	// paused: the process is stopped and continues at the end; killed: it is killed and
	// starts again at the end; hostLost: it is lost with its host, so that no connection
	// is refused.
	paused
	killed
	hostLost
	// compacted: the store drops its history and does not answer pending watches.
	compacted
)

// fault affects some gateways, or all if none is named.
type fault struct {
	kind        faultKind
	from, until time.Duration
	members     []int
}

func (t fault) affects(i int) bool {
	for _, n := range t.members {
		if n == i {
			return true
		}
	}
	return len(t.members) == 0
}

func (t fault) String() string {
	return fmt.Sprintf("%d of %v from %v to %v", t.kind, t.members, t.from, t.until)
}

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// poll is a query that a gateway holds for another one.
type poll struct {
	from        *member
	incarnation int
	version     int
	proof       time.Time
	began       time.Time
	done        bool
}

// member is a simulated gateway.
type member struct {
	i       int
	address string
	zone    string
	reader  *Reader
	fleet   *fleet.Fleet
	// version is the number of configurations that are known, and proof is when that was
	// last proved current.
	version int
	proof   time.Time
	// known is false after a start until the first answer.
	known            bool
	lastStoreFailure time.Time
	// polls are the queries that are held here.
	polls []*poll
	// incarnation counts the starts; queries of an earlier incarnation are dropped. alive
	// is false between an end and a start.
	incarnation int
	alive       bool
	heartbeat   uint64
	// learned is when each configuration was received.
	learned map[int]time.Time
}

// simulation holds a store and the gateways that read it.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	bounds Bounds
	queue  events
	seq    int
	list   []*member
	index  map[string]int
	zones  []string
	faults []fault
	// writes are the times at which the store accepted configurations.
	writes []time.Duration
	calls  []time.Duration
}

// newSimulation returns n gateways in the given number of zones, which know each other
// and the state of the store and start at random moments.
func newSimulation(n, zones int, b Bounds, seed uint64) *simulation {
	w := &simulation{now: t0, rng: rand.New(rand.NewPCG(seed, 7)), bounds: b, index: make(map[string]int)}
	for z := range zones {
		w.zones = append(w.zones, fmt.Sprintf("z%d", z))
	}
	for i := range n {
		m := &member{i: i, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), zone: w.zones[i%zones], learned: make(map[int]time.Time)}
		w.list = append(w.list, m)
		w.index[m.address] = i
	}
	for _, m := range w.list {
		w.start(m, true)
		m.known, m.proof = true, t0
	}
	w.at(0, w.heartbeat)
	return w
}

// start begins a new incarnation of the gateway.
func (w *simulation) start(m *member, first bool) {
	m.incarnation++
	m.alive = true
	m.reader = New(w.now)
	m.fleet = fleet.New(fleet.Member{Address: m.address, Zone: m.zone, Start: uint64(m.incarnation), Capacity: 100})
	m.fleet.Region(w.zones)
	m.version, m.proof, m.known, m.lastStoreFailure, m.polls = 0, time.Time{}, false, time.Time{}, nil
	if !first {
		seeds := []string{w.list[0].address, w.list[len(w.list)/2].address, w.list[len(w.list)-1].address}
		m.fleet.Started(w.now, seeds, false, w.rng.Uint64())
	}
	incarnation := m.incarnation
	w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() { w.step(m, incarnation) })
}

// at schedules a function at a time since the beginning.
func (w *simulation) at(d time.Duration, do func()) { w.push(t0.Add(d), do) }

// after schedules a function after a delay.
func (w *simulation) after(d time.Duration, do func()) { w.push(w.now.Add(d), do) }

func (w *simulation) push(at time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at, w.seq, do})
}

// resumeAt returns the given time, or the end of the pause if the gateway is paused then.
func (w *simulation) resumeAt(m *member, at time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, t := range w.faults {
			if t.kind == paused && t.affects(m.i) && !at.Before(t0.Add(t.from)) && at.Before(t0.Add(t.until)) {
				at, again = t0.Add(t.until), true
			}
		}
	}
	return at
}

// schedule runs a function of the gateway at the given time, unless its incarnation has
// ended; it is delayed while the gateway is paused.
func (w *simulation) schedule(m *member, incarnation int, at time.Time, do func()) {
	w.push(at, func() {
		if m.incarnation != incarnation || !m.alive {
			return
		}
		if resumeAt := w.resumeAt(m, w.now); resumeAt.After(w.now) {
			w.schedule(m, incarnation, resumeAt, do)
			return
		}
		do()
	})
}

// run injects the faults and simulates the duration.
func (w *simulation) run(d time.Duration) {
	for _, t := range w.faults {
		if t.kind != killed && t.kind != hostLost {
			continue
		}
		for _, m := range w.list {
			if t.affects(m.i) {
				w.at(t.from, func() { m.alive = false })
				w.at(t.until, func() { w.start(m, false) })
			}
		}
	}
	end := t0.Add(d)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// heartbeat delivers the heartbeats of all running gateways to all others.
func (w *simulation) heartbeat() {
	var members []fleet.Member
	for _, m := range w.list {
		if m.alive && !w.resumeAt(m, w.now).After(w.now) {
			m.heartbeat++
			members = append(members, fleet.Member{Address: m.address, Zone: m.zone, Start: uint64(m.incarnation), Beat: m.heartbeat, Capacity: 100})
		}
	}
	for _, m := range w.list {
		if m.alive {
			m.fleet.Merge(w.now, members)
		}
	}
	w.after(heartbeatInterval, w.heartbeat)
}

// view returns the view of the gateway.
func (w *simulation) view(m *member) View {
	return View{Known: m.known, InForce: m.known, Age: w.now.Sub(m.proof)}
}

// step lets the gateway make one query.
func (w *simulation) step(m *member, incarnation int) {
	w.schedule(m, incarnation, w.now, func() {
		q := m.reader.Next(w.now, w.view(m), w.bounds, m.fleet, w.rng.Uint64())
		switch q.Kind {
		case Sleep:
			w.schedule(m, incarnation, w.now.Add(q.Wait), func() { w.step(m, incarnation) })
		case QueryPeer:
			w.queryPeer(m, w.list[w.index[q.Address]], q)
		case List:
			w.queryStore(m, listLatency, listTimeout, func(sentAt time.Time) { w.listed(m, sentAt) })
		case Watch:
			w.watch(m, q.Wait)
		}
	})
}

// newest returns the number of configurations that the store had accepted at the time.
func (w *simulation) newest(at time.Time) int {
	n := 0
	for _, d := range w.writes {
		if !t0.Add(d).After(at) {
			n++
		}
	}
	return n
}

// watch queries the store for the changes after the known state.
func (w *simulation) watch(m *member, wait time.Duration) {
	took, stalled, gone := wait, w.watchesStall(w.now, w.now.Add(wait)), false
	if w.newest(w.now) > m.version {
		took = 0
		gone = w.historyCompacted(m)
	}
	for _, d := range w.writes {
		if until := t0.Add(d).Sub(w.now); !stalled && until > 0 && until < took {
			took = until
		}
	}
	w.queryStore(m, took+storeLatency, wait+watchSlack, func(sentAt time.Time) {
		if gone {
			m.reader.HistoryCompacted()
			return
		}
		w.watched(m, sentAt, wait, stalled && took > 0)
	})
}

// watchesStall reports whether the store is compacted at some moment in the period.
func (w *simulation) watchesStall(from, until time.Time) bool {
	for _, t := range w.faults {
		if t.kind == compacted && t0.Add(t.from).Before(until) && !t0.Add(t.until).Before(from) {
			return true
		}
	}
	return false
}

// historyCompacted reports whether the store no longer has the changes that follow the
// gateway's state.
func (w *simulation) historyCompacted(m *member) bool {
	for _, t := range w.faults {
		if t.kind == compacted && !w.now.Before(t0.Add(t.from)) && w.writes[m.version] < t.until {
			return true
		}
	}
	return false
}

// watched handles the answer to a watch.
func (w *simulation) watched(m *member, sentAt time.Time, wait time.Duration, nothing bool) {
	newest := w.newest(w.now.Add(-storeLatency))
	news := newest > m.version && !nothing
	proof := sentAt
	if held := w.now.Sub(sentAt); !news && held >= wait && held <= wait+300*time.Millisecond {
		proof = sentAt.Add(wait)
	}
	if news {
		w.learn(m, newest)
	}
	m.reader.Watched(w.now, news)
	w.prove(m, proof)
}

// listed handles the answer to a listing.
func (w *simulation) listed(m *member, sentAt time.Time) {
	m.reader.Listed()
	m.known = true
	w.learn(m, w.newest(sentAt))
	w.prove(m, sentAt)
}

// queryStore queries the store, which answers after the latency unless a fault prevents it.
func (w *simulation) queryStore(m *member, latency, timeout time.Duration, take func(sentAt time.Time)) {
	w.calls = append(w.calls, w.now.Sub(t0))
	sentAt, incarnation := w.now, m.incarnation
	answered, failed := sentAt.Add(latency), sentAt.Add(timeout)
	for _, t := range w.faults {
		from, until := t0.Add(t.from), t0.Add(t.until)
		if (t.kind != silent && t.kind != refusing) || !t.affects(m.i) || !until.After(sentAt) || from.After(answered) {
			continue
		}
		answered = failed.Add(1)
		if t.kind == refusing {
			failed = sentAt.Add(storeLatency)
			if from.After(sentAt) {
				failed = from
			}
		}
	}
	if w.resumeAt(m, answered).After(failed) {
		w.schedule(m, incarnation, failed, func() { w.storeFailed(m) })
		return
	}
	w.schedule(m, incarnation, answered, func() {
		m.fleet.StoreAnswered()
		m.reader.StoreAnswered(w.now)
		take(sentAt)
		w.step(m, incarnation)
	})
}

// storeFailed handles a call without an answer.
func (w *simulation) storeFailed(m *member) {
	m.fleet.StoreFailed(w.now)
	m.reader.StoreFailed(w.now, w.rng.Uint64())
	m.lastStoreFailure = w.now
	w.answerPolls(m)
	w.step(m, m.incarnation)
}

// learn records the configurations that the gateway has now.
func (w *simulation) learn(m *member, version int) {
	for v := m.version + 1; v <= version; v++ {
		if _, ok := m.learned[v]; !ok {
			m.learned[v] = w.now
		}
	}
	if version > m.version {
		m.version = version
		w.answerPolls(m)
	}
}

// prove records when the known state was last proved current.
func (w *simulation) prove(m *member, at time.Time) {
	if at.After(m.proof) {
		m.proof = at
		w.answerPolls(m)
	}
}

// queryPeer queries another gateway.
func (w *simulation) queryPeer(m, to *member, q Query) {
	incarnation := m.incarnation
	p := &poll{from: m, incarnation: incarnation, version: m.version, proof: m.proof, began: w.now}
	failAfter := q.Timeout
	if !to.alive && !w.isHostLost(to) {
		failAfter = peerLatency
	}
	w.schedule(m, incarnation, w.now.Add(failAfter), func() {
		if p.done {
			return
		}
		p.done = true
		m.reader.PeerFailed(m.known)
		if m.known || !to.alive {
			m.fleet.CallFailed(w.now, to.address)
		}
		w.step(m, incarnation)
	})
	w.schedule(to, to.incarnation, w.now.Add(peerLatency), func() {
		to.polls = append(to.polls, p)
		w.answerPolls(to)
	})
	w.schedule(to, to.incarnation, w.now.Add(peerLatency+q.Wait), func() { w.answer(to, p) })
}

// isHostLost reports whether the host of the gateway is lost.
func (w *simulation) isHostLost(m *member) bool {
	for _, t := range w.faults {
		if t.kind == hostLost && t.affects(m.i) && !w.now.Before(t0.Add(t.from)) && w.now.Before(t0.Add(t.until)) {
			return true
		}
	}
	return false
}

// answerPolls answers the held queries for which there is news.
func (w *simulation) answerPolls(m *member) {
	held := m.polls
	m.polls = nil
	for _, p := range held {
		switch {
		case p.done:
		case m.known && (m.version > p.version || m.lastStoreFailure.After(p.began) || m.proof.Sub(p.proof) > renewAfter):
			w.answer(m, p)
		default:
			m.polls = append(m.polls, p)
		}
	}
}

// answer sends the known state to another gateway.
func (w *simulation) answer(m *member, p *poll) {
	if p.done {
		return
	}
	if !m.known {
		return
	}
	version, proof, backoff := m.version, m.proof, m.fleet.Backoff(w.now)
	w.schedule(p.from, p.incarnation, w.now.Add(peerLatency), func() {
		if p.done {
			return
		}
		p.done = true
		w.peerAnswered(p.from, m.address, version, proof, backoff)
		w.step(p.from, p.incarnation)
	})
}

// peerAnswered handles the answer of another gateway.
func (w *simulation) peerAnswered(m *member, address string, version int, proof time.Time, backoff time.Duration) {
	m.reader.PeerAnswered(w.now)
	if backoff > 0 {
		m.fleet.SetPeerBackoff(w.now, address, backoff)
	}
	m.reader.PeerStateReceived(version > m.version)
	m.known = true
	w.learn(m, version)
	if version >= m.version {
		w.prove(m, proof)
	}
}
