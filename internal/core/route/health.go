package route

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
)

// Bounds of ejection.
const (
	// ejectAfter is the number of consecutive failures that eject an agent.
	ejectAfter = 2
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// maxEjectedShare is the maximum share of the subset that is ejected at once.
	maxEjectedShare = 0.5
)

// health counts an agent's failures.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// leavingLease is how long an agent's report that it is leaving is used; another process
// may have taken its place since.
const leavingLease = 10 * time.Second

func (u *upstream) isLeaving(now time.Time) bool {
	return u.load.Leaving && now.Sub(u.loadAt) < leavingLease
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Answered records the load reported with a response or a refusal.
func (t *Table) Answered(now time.Time, id string, l agent.Load) {
	u, ok := t.hosts[id]
	if !ok {
		return
	}
	u.known = true
	u.load = l
	u.loadAt = now
}

// OfferAnswered records that an offer was answered in any way.
func (t *Table) OfferAnswered(id string) {
	if u, ok := t.hosts[id]; ok && u.pending > 0 {
		u.pending--
	}
}

// Succeeded records that the agent's upstream completed a response.
func (t *Table) Succeeded(id string) {
	if u, ok := t.hosts[id]; ok {
		u.health = health{}
	}
}

// Failed records that the agent could not be reached or that its upstream broke off. After
// several consecutive failures the agent is ejected for a time that doubles, unless too
// many of its pool are ejected already.
func (t *Table) Failed(now time.Time, id string) {
	u, ok := t.hosts[id]
	if !ok || t.options.NoEjection {
		return
	}
	u.health.failures++
	u.known = false
	if u.health.failures < ejectAfter || u.health.isEjected(now) {
		return
	}
	if !t.mayEject(now, u) {
		return
	}
	d := min(ejectBase<<min(u.health.ejections, 5), ejectMax)
	u.health.ejections++
	u.health.ejectedUntil = now.Add(d)
}

func (t *Table) mayEject(now time.Time, u *upstream) bool {
	p, ok := t.pools[u.host.Pool]
	if !ok {
		return false
	}
	ejected := 0
	for _, other := range p.members {
		if other.health.isEjected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(p.members))
}

// State describes what the table knows of one agent.
type State struct {
	ID      string
	Pool    string
	Ejected bool
	Leaving bool
	Known   bool
	Wait    time.Duration
	Pending int
}

// States returns the agents of a pool that the entry uses, in order.
func (t *Table) States(now time.Time, poolName string, tier int) []State {
	p, ok := t.pools[poolName]
	if !ok {
		return nil
	}
	states := make([]State, 0, len(p.members))
	for _, u := range p.members {
		states = append(states, State{
			ID:      u.host.ID,
			Pool:    poolName,
			Ejected: u.health.isEjected(now),
			Leaving: u.isLeaving(now),
			Known:   u.known,
			Wait:    u.wait(now, tier),
			Pending: u.pending,
		})
	}
	return states
}
