package gatewayd

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
)

const (
	// soundFor is how long after its first event a stream is taken to do its upstream
	// no harm. Upstreams ended 30 to 250 ms after they began to run what ended them.
	soundFor = 2 * time.Second
	// lostFor is how long after a request broke off the end of its upstream is laid to
	// it: by then a connection to it was tried.
	lostFor = 3 * time.Second
	// lostKept bounds the requests that broke off a moment ago.
	lostKept = 1024
	// probeTimeout bounds the look whether an upstream still listens: it closed a
	// connection just now, so that its host answers within a round trip.
	probeTimeout = 100 * time.Millisecond
)

// lostRequest is a request that broke off at a start of an upstream.
type lostRequest struct {
	start        uint64
	at           time.Time
	print        suspect.Print
	id           string
	route        string
	organisation string
	// ran is how long before it had been sent, sinceHead how long before the head of its
	// answer came.
	ran       time.Duration
	sinceHead time.Duration
	events    int
}

// hash is that of this gateway's address; 0 if it has none for other gateways.
func (s *Server) hash() uint64 {
	if s.o.Settings.Peers == "" {
		return 0
	}
	return xxhash.Sum64String(s.PeersAddress())
}

// enter holds the request against those under which upstreams ended.
func (x *request) enter() *gateway.Refusal {
	if x.server.suspected.Load() == 0 {
		return nil
	}
	p := x.printed()
	v := suspect.Free
	x.server.control.Must(func(now time.Time) { v = x.server.suspects.Enter(now, p) })
	switch v {
	case suspect.Blocked:
		return gateway.Ends(false)
	case suspect.Occupied:
		return gateway.Occupied()
	case suspect.Quarantined:
		x.quarantined = true
		x.progress.Suspect = true
	default:
	}
	return nil
}

// leave notes that the request runs no more.
func (x *request) leave() {
	if x.quarantined {
		x.server.control.Must(func(time.Time) { x.server.suspects.Leave(x.printed()) })
	}
}

// survived reports whether the attempt showed that the request does its upstream no
// harm: it was answered with success, or had run for long.
func (x *request) survived(o balance.Outcome) bool {
	if x.server.suspected.Load() == 0 {
		return false
	}
	return (o == balance.Completed && x.sound) || x.ranForLong()
}

// ranForLong reports whether the stream of the present attempt had gone on for long.
func (x *request) ranForLong() bool {
	return !x.firstAt.IsZero() && time.Since(x.firstAt) >= soundFor
}

// clear notes that the request does no harm. It runs in the control goroutine.
func (s *Server) clear(now time.Time, x *request) {
	if s.suspects.Survived(now, x.printed()) {
		x.log().Stringer("print", x.printed()).Msg("suspect is cleared")
	}
}

// lostAt looks whether the upstream ended under the request, and returns what may be
// done with it now. The end of one that was leaving is no surprise.
func (x *request) lostAt(ctx context.Context, c balance.Choice) suspect.Verdict {
	if x.ranForLong() {
		return suspect.Free
	}
	s := x.server
	lost := lostRequest{
		start: c.Start(), print: x.printed(), id: x.call.ID, route: x.admission.Route.Name,
		organisation: x.organisation(), ran: time.Since(x.sentAt), sinceHead: x.sinceHead(), events: x.events,
	}
	leaves, known := false, false
	s.control.Must(func(now time.Time) {
		if leaves = s.table.Leaves(c.ID); leaves {
			return
		}
		lost.at = now
		s.lost = append(s.lost, lost)
		s.lost = s.lost[max(0, len(s.lost)-lostKept):]
		known = s.table.IsGone(now, c.ID)
	})
	if leaves {
		return suspect.Free
	}
	ended := known || s.client.Refuses(ctx, c.Address, probeTimeout)
	v := suspect.Free
	s.control.Must(func(now time.Time) {
		if ended {
			s.foundEnded(now, c.Instance, balance.Dead)
			s.table.FoundGone(now, c.ID)
		}
		v = s.suspects.Look(now, lost.print)
	})
	x.progress.Suspect = v != suspect.Free
	return v
}

// foundEnded notes that a start of an upstream has ended, and under which requests of
// this gateway. It runs in the control goroutine.
func (s *Server) foundEnded(now time.Time, in balance.Instance, o balance.Outcome) {
	if !s.table.IsGone(now, in.ID) {
		s.metrics.ends.Inc()
		s.log.Warn().Str("upstream", in.ID).Str("address", in.Address).Str("zone", in.Zone).Str("pool", in.Pool).
			Stringer("outcome", o).Msg("upstream has ended")
	}
	start := in.Start()
	s.lost = slices.DeleteFunc(s.lost, func(l lostRequest) bool {
		if l.start != start {
			return now.Sub(l.at) > lostFor
		}
		if now.Sub(l.at) <= lostFor {
			s.endedUnder(l, in.ID)
		}
		return true
	})
	s.suspected.Store(int64(s.suspects.Known()))
}

// endedUnder notes the end of an upstream under a request.
func (s *Server) endedUnder(l lostRequest, upstream string) {
	s.suspects.Ended(l.at, l.print, l.start, l.ran)
	s.log.Warn().Str("request", l.id).Stringer("print", l.print).Str("upstream", upstream).
		Str("route", l.route).Str("organisation", l.organisation).
		Dur("ran", l.ran).Dur("since_head", l.sinceHead).Int("events", l.events).
		Int("ends", s.suspects.Ends(l.print)).Stringer("verdict", s.suspects.Look(l.at, l.print)).
		Msg("upstream ended under a request")
}

// sweepSuspects forgets old ones, and counts the others. It runs in the control
// goroutine.
func (s *Server) sweepSuspects(now time.Time) {
	s.suspects.Sweep(now)
	s.suspected.Store(int64(s.suspects.Known()))
	quarantined, blocked := s.suspects.Counts(now)
	s.metrics.suspects.WithLabelValues(suspect.Quarantined.String()).Set(float64(quarantined))
	s.metrics.suspects.WithLabelValues(suspect.Blocked.String()).Set(float64(blocked))
}
