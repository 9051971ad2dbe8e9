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
	// lostRetention is the time after a request's connection broke in which the end of its
	// upstream is attributed to the request. A new connection to the upstream has been
	// tried by then.
	lostRetention = 3 * time.Second
	// maxLost bounds the number of requests whose connection broke recently.
	maxLost = 1024
)

// addressHash returns the hash of this gateway's address; 0 if it has no address for other
// gateways.
func (s *Server) addressHash() uint64 {
	if s.o.Settings.Peers == "" {
		return 0
	}
	return xxhash.Sum64String(s.PeersAddress())
}

// checkSuspect checks the request against those that upstreams crashed under.
func (x *request) checkSuspect() *gateway.Refusal {
	if !x.server.suspects.Any() {
		return nil
	}
	p := x.fingerprint()
	v := suspect.Free
	x.server.control.DoWithoutCancel(func(now time.Time) { v = x.server.suspects.Admit(now, p) })
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

// releaseSuspect records that a quarantined request no longer runs.
func (x *request) releaseSuspect() {
	if x.quarantined {
		x.server.control.DoWithoutCancel(func(time.Time) { x.server.suspects.Release(x.fingerprint()) })
	}
}

// survived reports whether the attempt showed that the request does not crash its
// upstream: it was answered with success, or ran for long.
func (x *request) survived(o balance.Outcome) bool {
	return (o == balance.Completed && x.succeeded) || x.ranForLong()
}

// ranForLong reports whether the stream of the current attempt ran for long.
func (x *request) ranForLong() bool {
	return !x.firstEventAt.IsZero() && x.server.now().Sub(x.firstEventAt) >= suspects.HarmlessAfter
}

// checkLost checks whether the upstream ended while it ran the request, and returns the
// verdict on the request. The end of a leaving upstream is expected and does not count.
func (x *request) checkLost(ctx context.Context, c balance.Choice) suspect.Verdict {
	if x.ranForLong() {
		return suspect.Free
	}
	s := x.server
	lost := suspects.Failure{
		Print: x.fingerprint(), Request: x.call.ID, Organisation: x.organisation(), Parts: partNames(x.call.Prompt),
		IncarnationKey: c.IncarnationKey(), Upstream: c.ID, Ran: s.now().Sub(x.sentAt),
	}
	leaving, known := false, false
	s.control.DoWithoutCancel(func(now time.Time) {
		if leaving = s.table.EndExpected(c.ID); leaving {
			return
		}
		lost.At = now
		s.lost = append(s.lost, lost)
		s.lost = s.lost[max(0, len(s.lost)-maxLost):]
		known = s.table.IsGone(now, c.Instance)
	})
	if leaving {
		return suspect.Free
	}
	ended := known || s.client.Refuses(ctx, c.Address, suspects.ProbeTimeout)
	v := suspect.Free
	s.control.DoWithoutCancel(func(now time.Time) {
		if ended {
			s.recordUpstreamEnd(now, c.Instance, balance.Dead)
			s.table.MarkGone(now, c.Instance)
		}
		v = s.suspects.Check(now, lost.Print)
	})
	x.progress.Suspect = v != suspect.Free
	return v
}

// recordUpstreamEnd records that an instance of an upstream has ended, and which requests
// of this gateway it was running. It runs in the control loop.
func (s *Server) recordUpstreamEnd(now time.Time, in balance.Instance, o balance.Outcome) {
	if !s.table.IsGone(now, in) {
		s.metrics.ends.Inc()
		s.log.Warn().Str("upstream", in.ID).Str("address", in.Address).Str("zone", in.Zone).Str("pool", in.Pool).
			Stringer("outcome", o).Msg("upstream has ended")
	}
	key := in.IncarnationKey()
	s.lost = slices.DeleteFunc(s.lost, func(l suspects.Failure) bool {
		old := now.Sub(l.At) > lostRetention
		if l.IncarnationKey == key && !old {
			s.suspects.ReportCrash(l)
		}
		return l.IncarnationKey == key || old
	})
}
