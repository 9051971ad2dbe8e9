package session

import (
	"cmp"
	"slices"
	"time"
)

// All names the row over all classes of a scenario.
const All = "*"

// Row is the measure of one class in one run of a scenario.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Class      string `json:"class"`
	Tier       int    `json:"tier"`
	Protected  bool   `json:"protected"`
	Sent       int    `json:"sent"`
	Completed  int    `json:"completed"`
	Refused    int    `json:"refused"`
	Unknown    int    `json:"unknown"`
	// Abandoned counts callers that left before their answer began.
	Abandoned  int     `json:"abandoned"`
	Attainment float64 `json:"attainment"`
	// Goodput is the tokens of answers on time, of what a perfect scheduler
	// could have made; see docs/MEASURES.md.
	Goodput float64 `json:"goodput"`
	// Wasted is the share of the engines' work that nobody could use.
	Wasted    float64 `json:"wasted"`
	MaxWaitMS int     `json:"max_wait_ms"`
	// Fairness is Jain's index of useful tokens over entitlement.
	Fairness   float64 `json:"fairness"`
	Violations int     `json:"violations"`
	// Amplification is engine starts for each request that was started.
	Amplification float64 `json:"amplification"`
}

// work is the engines' tokens by request.
type work struct {
	tokens int
	starts int
}

// works adds up the engines' tokens from the transcript.
func (s *Session) works() map[int]work {
	all := make(map[int]work)
	for _, r := range s.records {
		w := all[r.Request]
		switch r.Kind {
		case engineStarted:
			w.starts++
		case engineStopped, engineEnded:
			w.tokens += r.Tokens
		default:
			continue
		}
		all[r.Request] = w
	}
	return all
}

// onTime reports whether the request's answer met its target.
func (r *request) onTime() bool {
	return r.result == "completed" && r.class.MeetsTargets(r.firstToken.Sub(r.arrived), r.ended.Sub(r.arrived))
}

// useful reports whether the answer still mattered when it was complete.
func (r *request) useful() bool {
	if r.result != "completed" {
		return false
	}
	reached := r.ended
	if r.class.FirstToken > 0 {
		reached = r.firstToken
	}
	return reached.Sub(r.arrived) <= r.class.Useful
}

// wait is the time until the request was begun, or answered without.
func (r *request) wait(end time.Time) time.Duration {
	switch {
	case !r.begun.IsZero():
		return r.begun.Sub(r.arrived)
	case !r.ended.IsZero():
		return r.ended.Sub(r.arrived)
	default:
		return end.Sub(r.arrived)
	}
}

// Rows returns a row for each class, and one over all.
func (s *Session) Rows() []Row {
	s.findBegun()
	works := s.works()
	violations := len(s.Violations())
	best := s.bound()
	byClass := make(map[string][]*request)
	for _, r := range s.requests {
		byClass[r.class.Name] = append(byClass[r.class.Name], r)
	}
	rows := []Row{s.row(All, s.requests, works, best[All])}
	for _, name := range sortedKeys(byClass) {
		rows = append(rows, s.row(name, byClass[name], works, best[name]))
	}
	for i := range rows {
		rows[i].Violations = violations
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Tier, b.Tier) })
	return rows
}

// findBegun reads from the transcript when each request was first started.
func (s *Session) findBegun() {
	for _, r := range s.records {
		if r.Kind != engineStarted {
			continue
		}
		req := s.requests[r.Request-1]
		if req.begun.IsZero() {
			req.begun = start.Add(r.At)
		}
	}
}

func (s *Session) row(class string, requests []*request, works map[int]work, best float64) Row {
	row := Row{
		Deployment: s.script.Deployment, Scenario: s.script.Name, Policy: s.policy.Name,
		Class: class, Sent: len(requests),
	}
	if c, ok := s.site.Config.Class(class); ok {
		row.Tier = c.Tier
		row.Protected = c.Protected
	}
	var met, started, starts int
	var onTime, wanted, made float64
	for _, r := range requests {
		w := works[r.id]
		made += float64(w.tokens)
		starts += w.starts
		started += min(1, w.starts)
		row.MaxWaitMS = max(row.MaxWaitMS, int(r.wait(s.world.now).Milliseconds()))
		switch r.result {
		case "completed":
			row.Completed++
		case "not_run":
			row.Refused++
		case "abandoned":
			row.Abandoned++
		default:
			row.Unknown++
		}
		if r.onTime() {
			met++
			onTime += float64(r.tokens)
		}
		if r.useful() {
			wanted += float64(r.tokens)
		}
	}
	row.Attainment = ratio(float64(met), float64(len(requests)))
	row.Goodput = ratio(onTime, best)
	row.Wasted = round(1 - ratio(wanted, made))
	row.Fairness = s.fairness(requests)
	row.Amplification = ratio(float64(starts), float64(started))
	return row
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return round(a / b)
}

func round(f float64) float64 {
	const digits = 10000
	return float64(int(f*digits+0.5)) / digits
}

// fairness is Jain's index over the organisations' useful tokens relative to
// their entitlement: the class's useful tokens shared out by weight, none
// getting more than it asked for. It is taken over the organisations that did
// not get all they asked for; without one it is 1.
func (s *Session) fairness(requests []*request) float64 {
	asked := make(map[string]float64)
	got := make(map[string]float64)
	weights := make(map[string]float64)
	var total float64
	for _, r := range requests {
		name := r.organisation.Name
		weights[name] = r.organisation.Weight
		asked[name] += float64(r.tokens)
		if r.useful() {
			got[name] += float64(r.tokens)
			total += float64(r.tokens)
		}
	}
	entitled := shareOut(total, asked, weights)
	var sum, squares, n float64
	for _, name := range sortedKeys(asked) {
		if entitled[name] == 0 || asked[name] <= entitled[name]*1.0001 {
			continue
		}
		x := got[name] / entitled[name]
		sum += x
		squares += x * x
		n++
	}
	if n == 0 || squares == 0 {
		return 1
	}
	return round(sum * sum / (n * squares))
}

// shareOut shares a total by weight, none getting more than it asked for.
func shareOut(total float64, asked, weights map[string]float64) map[string]float64 {
	entitled := make(map[string]float64)
	open := sortedKeys(asked)
	for len(open) > 0 && total > 0 {
		var sum float64
		for _, name := range open {
			sum += weights[name]
		}
		var next []string
		rest := total
		for _, name := range open {
			if asked[name] <= total*weights[name]/sum {
				entitled[name] = asked[name]
				rest -= asked[name]
			} else {
				next = append(next, name)
			}
		}
		if len(next) == len(open) {
			for _, name := range open {
				entitled[name] = total * weights[name] / sum
			}
			return entitled
		}
		open, total = next, rest
	}
	return entitled
}
