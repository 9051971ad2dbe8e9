package gatewayd

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
)

const (
	// lostFor is how long after a request broke off the end of its upstream is laid to
	// it: by then a connection to it was tried.
	lostFor = 3 * time.Second
	// lostKept bounds the requests that broke off a moment ago.
	lostKept = 1024
)

// hash is that of this gateway's address; 0 if it has none for other gateways.
func (s *Server) hash() uint64 {
	if s.o.Settings.Peers == "" {
		return 0
	}
	return xxhash.Sum64String(s.PeersAddress())
}

// enter holds the request against those under which upstreams ended.
func (x *request) enter() *gateway.Refusal {
	if !x.server.suspects.Any() {
		return nil
	}
	p := x.fingerprint()
	v := suspect.Free
	x.server.control.Must(func(now time.Time) { v = x.server.suspects.Admit(now, p) })
	switch v {
	case suspect.Blocked:
		return gateway.CrashesUpstreams(false)
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
		x.server.control.Must(func(time.Time) { x.server.suspects.Release(x.fingerprint()) })
	}
}

// survived reports whether the attempt showed that the request does its upstream no
// harm: it was answered with success, or had run for long.
func (x *request) survived(o balance.Outcome) bool {
	return (o == balance.Completed && x.succeeded) || x.ranForLong()
}

// ranForLong reports whether the stream of the present attempt had gone on for long.
func (x *request) ranForLong() bool {
	return !x.firstEventAt.IsZero() && x.server.now().Sub(x.firstEventAt) >= suspects.SoundFor
}

// lostAt looks whether the upstream ended under the request, and returns what may be
// done with it now. The end of one that was leaving is no surprise.
func (x *request) lostAt(ctx context.Context, c balance.Choice) suspect.Verdict {
	if x.ranForLong() {
		return suspect.Free
	}
	s := x.server
	lost := suspects.Lost{
		Print: x.fingerprint(), Request: x.call.ID, Organisation: x.organisation(),
		Start: c.Start(), Upstream: c.ID, Ran: s.now().Sub(x.sentAt),
	}
	leaves, known := false, false
	s.control.Must(func(now time.Time) {
		if leaves = s.table.EndExpected(c.ID); leaves {
			return
		}
		lost.At = now
		s.lost = append(s.lost, lost)
		s.lost = s.lost[max(0, len(s.lost)-lostKept):]
		known = s.table.IsGone(now, c.Instance)
	})
	if leaves {
		return suspect.Free
	}
	ended := known || s.client.Refuses(ctx, c.Address, suspects.ProbeTimeout)
	v := suspect.Free
	s.control.Must(func(now time.Time) {
		if ended {
			s.foundEnded(now, c.Instance, balance.Dead)
			s.table.MarkGone(now, c.Instance)
		}
		v = s.suspects.Check(now, lost.Print)
	})
	x.progress.Suspect = v != suspect.Free
	return v
}

// foundEnded notes that a start of an upstream has ended, and under which requests of
// this gateway. It runs in the control goroutine.
func (s *Server) foundEnded(now time.Time, in balance.Instance, o balance.Outcome) {
	if !s.table.IsGone(now, in) {
		s.metrics.ends.Inc()
		s.log.Warn().Str("upstream", in.ID).Str("address", in.Address).Str("zone", in.Zone).Str("pool", in.Pool).
			Stringer("outcome", o).Msg("upstream has ended")
	}
	start := in.Start()
	s.lost = slices.DeleteFunc(s.lost, func(l suspects.Lost) bool {
		old := now.Sub(l.At) > lostFor
		if l.Start == start && !old {
			s.suspects.EndedUnder(l)
		}
		return l.Start == start || old
	})
}
