package session

import (
	"fmt"
	"strings"
	"time"
)

// kind is the type of event that a record describes.
type kind string

// Kinds of records.
const (
	arrived       kind = "arrived"
	offered       kind = "offered"
	accepted      kind = "accepted"
	granted       kind = "granted"
	refused       kind = "refused"
	claimed       kind = "claimed"
	withdrawn     kind = "withdrawn"
	engineStarted kind = "started"
	engineStopped kind = "stopped"
	engineEnded   kind = "ended"
	preempted     kind = "preempted"
	firstToken    kind = "first-token"
	finished      kind = "finished"
	fault         kind = "fault"
	healed        kind = "healed"
	leaving       kind = "leaving"
)

// record is one line of the transcript.
type record struct {
	At      time.Duration
	Kind    kind
	Request int
	Attempt string
	Agent   string
	Class   string
	// Detail is a result or a reason.
	Detail string
	Tokens int
	// PreemptibleRuns is the number of runs of lower tiers that the agent could have
	// preempted instead of refusing the request.
	PreemptibleRuns int
}

// String formats the record as one line of the transcript.
func (r record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %-11s", r.At.Seconds(), r.Kind)
	if r.Request > 0 {
		fmt.Fprintf(&b, " r%d", r.Request)
	}
	for _, part := range []string{r.Class, r.Attempt, r.Agent, r.Detail} {
		if part != "" {
			b.WriteString(" " + part)
		}
	}
	if r.Tokens > 0 {
		fmt.Fprintf(&b, " tokens=%d", r.Tokens)
	}
	return b.String()
}

func (s *Session) addRecord(r record) {
	r.At = s.clock.elapsed()
	s.records = append(s.records, r)
}

// Transcript returns all records, one per line.
func (s *Session) Transcript() string {
	var b strings.Builder
	for _, r := range s.records {
		b.WriteString(r.String())
		b.WriteByte('\n')
	}
	return b.String()
}
