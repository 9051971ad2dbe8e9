package session

import (
	"cmp"
	"slices"
	"time"
)

// All is the class name of the row that covers all classes of a scenario.
const All = "*"

// Row holds the metrics of one class in one run of a scenario.
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
	// Abandoned counts the requests whose caller disconnected before the first token.
	Abandoned  int     `json:"abandoned"`
	Attainment float64 `json:"attainment"`
	// Goodput is the number of tokens of responses that were on time, relative to the
	// upper bound that a perfect scheduler could reach; see docs/MEASURES.md.
	Goodput float64 `json:"goodput"`
	// Wasted is the share of the engines' tokens that did not lead to a useful response.
	Wasted    float64 `json:"wasted"`
	MaxWaitMS int     `json:"max_wait_ms"`
	// Fairness is Jain's index of the organisations' useful tokens relative to their
	// entitlements.
	Fairness   float64 `json:"fairness"`
	Violations int     `json:"violations"`
	// Amplification is the number of engine starts per request that was started.
	Amplification float64 `json:"amplification"`
}

// engineUsage is the engine work that one request caused.
type engineUsage struct {
	tokens int
	starts int
}

// usage sums the engine work of each request from the transcript.
func (s *Session) usage() map[int]engineUsage {
	all := make(map[int]engineUsage)
	for _, r := range s.records {
		u := all[r.Request]
		switch r.Kind {
		case engineStarted:
			u.starts++
		case engineStopped, engineEnded:
			u.tokens += r.Tokens
		default:
			continue
		}
		all[r.Request] = u
	}
	return all
}

// onTime reports whether the response met its latency targets.
func (r *request) onTime() bool {
	return r.result == "completed" && r.class.MeetsTargets(r.firstToken.Sub(r.arrived), r.ended.Sub(r.arrived))
}

// useful reports whether a complete response arrived early enough to be of use to its
// caller.
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

// wait returns the time until the request was first started, or until it was answered if
// it was never started.
func (r *request) wait(end time.Time) time.Duration {
	switch {
	case !r.started.IsZero():
		return r.started.Sub(r.arrived)
	case !r.ended.IsZero():
		return r.ended.Sub(r.arrived)
	default:
		return end.Sub(r.arrived)
	}
}

// Rows returns one row per class and one row for all classes.
func (s *Session) Rows() []Row {
	s.setStartTimes()
	usage := s.usage()
	violations := len(s.Violations())
	bounds := s.goodputBounds()
	byClass := make(map[string][]*request)
	for _, r := range s.requests {
		byClass[r.class.Name] = append(byClass[r.class.Name], r)
	}
	rows := []Row{s.row(All, s.requests, usage, bounds[All])}
	for _, name := range sortedKeys(byClass) {
		rows = append(rows, s.row(name, byClass[name], usage, bounds[name]))
	}
	for i := range rows {
		rows[i].Violations = violations
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Tier, b.Tier) })
	return rows
}

// setStartTimes sets the time of the first start of each request from the transcript.
func (s *Session) setStartTimes() {
	for _, r := range s.records {
		if r.Kind != engineStarted {
			continue
		}
		req := s.requests[r.Request-1]
		if req.started.IsZero() {
			req.started = start.Add(r.At)
		}
	}
}

func (s *Session) row(class string, requests []*request, usage map[int]engineUsage, bound float64) Row {
	row := Row{
		Deployment: s.script.Deployment, Scenario: s.script.Name, Policy: s.policy.Name,
		Class: class, Sent: len(requests),
	}
	if c, ok := s.site.Config.Class(class); ok {
		row.Tier = c.Tier
		row.Protected = c.Protected
	}
	var met, started, starts int
	var onTime, usefulTokens, producedTokens float64
	for _, r := range requests {
		u := usage[r.id]
		producedTokens += float64(u.tokens)
		starts += u.starts
		started += min(1, u.starts)
		row.MaxWaitMS = max(row.MaxWaitMS, int(r.wait(s.clock.now).Milliseconds()))
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
			usefulTokens += float64(r.tokens)
		}
	}
	row.Attainment = ratio(float64(met), float64(len(requests)))
	row.Goodput = ratio(onTime, bound)
	row.Wasted = round(1 - ratio(usefulTokens, producedTokens))
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

// fairness returns Jain's index of the organisations' useful tokens relative to their
// entitlements. An entitlement is the weighted max-min fair share of all useful tokens. The
// index covers the organisations whose demand exceeds their entitlement; without any it is 1.
func (s *Session) fairness(requests []*request) float64 {
	demand := make(map[string]float64)
	received := make(map[string]float64)
	weights := make(map[string]float64)
	var total float64
	for _, r := range requests {
		name := r.organisation.Name
		weights[name] = r.organisation.Weight
		demand[name] += float64(r.tokens)
		if r.useful() {
			received[name] += float64(r.tokens)
			total += float64(r.tokens)
		}
	}
	entitled := maxMinShares(total, demand, weights)
	var sum, squares, n float64
	for _, name := range sortedKeys(demand) {
		if entitled[name] == 0 || demand[name] <= entitled[name]*1.0001 {
			continue
		}
		x := received[name] / entitled[name]
		sum += x
		squares += x * x
		n++
	}
	if n == 0 || squares == 0 {
		return 1
	}
	return round(sum * sum / (n * squares))
}

// maxMinShares divides a total by weighted max-min fairness: in proportion to the weights,
// with no share above its demand.
func maxMinShares(total float64, demand, weights map[string]float64) map[string]float64 {
	entitled := make(map[string]float64)
	unsatisfied := sortedKeys(demand)
	for len(unsatisfied) > 0 && total > 0 {
		var sum float64
		for _, name := range unsatisfied {
			sum += weights[name]
		}
		var next []string
		remaining := total
		for _, name := range unsatisfied {
			if demand[name] <= total*weights[name]/sum {
				entitled[name] = demand[name]
				remaining -= demand[name]
			} else {
				next = append(next, name)
			}
		}
		if len(next) == len(unsatisfied) {
			for _, name := range unsatisfied {
				entitled[name] = total * weights[name] / sum
			}
			return entitled
		}
		unsatisfied, total = next, remaining
	}
	return entitled
}
