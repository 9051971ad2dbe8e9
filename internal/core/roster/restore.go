package roster

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// goneFor is how long an upstream that went is remembered, far longer than a copy of the
// list is old.
const goneFor = time.Minute

// Return is the return of the list's keeper from a copy of itself: what was written after
// the copy was made is lost, until it is written again.
type Return struct {
	// After is the latest moment at which the keeper was not yet back.
	After time.Time
	// Lapse is the time within which an entry goes that its upstream does not renew.
	Lapse time.Duration
}

// departed is an upstream that went.
type departed struct {
	balance.Instance
	at time.Time
}

// doubted is an upstream that went and is listed again only by a copy. It is believed if its
// entry outlasts the time in which it would lapse, or is written again.
type doubted struct {
	balance.Instance
	until time.Time
}

// Restore takes the whole list of a keeper that came back from a copy. What is known of an
// upstream goes before what the copy says of the same start or an earlier one: it still
// leaves, it is still gone. What the copy lacks is kept for a moment, an evacuation too.
func (r *Roster) Restore(now time.Time, back Return, list []balance.Instance, zones []string) {
	r.recoveredAt = back.After
	r.lapseSeen = true
	r.forgetOrder()
	current := make([]balance.Instance, 0, len(list))
	for _, in := range list {
		held, listed := r.listed[in.ID]
		if listed && startedBefore(in, held) {
			continue
		}
		in.Leaving = in.Leaving || listed && held.Leaving && !held.RestartedAs(in)
		if gone, ok := r.gone[in.ID]; ok && !startedBefore(gone.Instance, in) {
			r.doubted[in.ID] = doubted{in, now.Add(back.Lapse)}
		}
		current = append(current, in)
	}
	r.Replace(now, current)
	r.restoreEvacuated(back.After.Add(recovering), zones)
}

// startedBefore reports whether both tell when they began, and the first one did earlier.
func startedBefore(in, other balance.Instance) bool {
	return in.Born != 0 && other.Born != 0 && in.Born < other.Born
}

// forgetOrder forgets in which order entries were made: those of the copy and of what comes
// after it do not compare with those that were lost.
func (r *Roster) forgetOrder() {
	for id, in := range r.listed {
		in.Created = 0
		r.listed[id] = in
	}
}

// depart remembers an upstream that is taken off the list.
func (r *Roster) depart(now time.Time, id string) {
	r.gone[id] = departed{r.listed[id], now}
	delete(r.listed, id)
	delete(r.lapsed, id)
}

// forgetGone forgets upstreams that went long ago.
func (r *Roster) forgetGone(now time.Time) {
	for id, gone := range r.gone {
		if now.Sub(gone.at) > goneFor {
			delete(r.gone, id)
		}
	}
}

// believe puts upstreams on the list whose entries outlasted the doubt.
func (r *Roster) believe(now time.Time) {
	for id, d := range r.doubted {
		if !now.Before(d.until) {
			delete(r.doubted, id)
			r.put(d.Instance)
		}
	}
}
