package route

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
)

// Bounds of ejection.
const (
	// ejectAfter is the number of failures in a row that eject an agent.
	ejectAfter = 2
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// maxEjectedShare is the part of the subset that may be ejected at once.
	maxEjectedShare = 0.5
)

// health counts an agent's failures.
type health struct {
	failures int
	ejected  int
	until    time.Time
}

// leavingLease is how long an agent's word that it is leaving is believed;
// another process may have taken its place since.
const leavingLease = 10 * time.Second

func (u *upstream) leavingAt(now time.Time) bool {
	return u.load.Leaving && now.Sub(u.loadAt) < leavingLease
}

func (h *health) ejectedAt(now time.Time) bool { return now.Before(h.until) }

// Answered takes the load that rode on an answer or a refusal.
func (t *Table) Answered(now time.Time, id string, l agent.Load) {
	u, ok := t.hosts[id]
	if !ok {
		return
	}
	u.known = true
	u.load = l
	u.loadAt = now
}

// Settled tells that an offer has its answer, of whatever kind.
func (t *Table) Settled(id string) {
	if u, ok := t.hosts[id]; ok && u.pending > 0 {
		u.pending--
	}
}

// Succeeded tells that the agent's upstream completed an answer.
func (t *Table) Succeeded(id string) {
	if u, ok := t.hosts[id]; ok {
		u.health = health{}
	}
}

// Failed tells that the agent could not be reached or its upstream broke off.
// After some failures in a row the agent is ejected for a time that doubles,
// unless too many of its pool are ejected already.
func (t *Table) Failed(now time.Time, id string) {
	u, ok := t.hosts[id]
	if !ok || t.options.NoEjection {
		return
	}
	u.health.failures++
	u.known = false
	if u.health.failures < ejectAfter || u.health.ejectedAt(now) {
		return
	}
	if !t.mayEject(now, u) {
		return
	}
	d := min(ejectBase<<min(u.health.ejected, 5), ejectMax)
	u.health.ejected++
	u.health.until = now.Add(d)
}

func (t *Table) mayEject(now time.Time, u *upstream) bool {
	p, ok := t.pools[u.host.Pool]
	if !ok {
		return false
	}
	ejected := 0
	for _, other := range p.members {
		if other.health.ejectedAt(now) {
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
			Ejected: u.health.ejectedAt(now),
			Leaving: u.leavingAt(now),
			Known:   u.known,
			Wait:    u.wait(now, tier),
			Pending: u.pending,
		})
	}
	return states
}
