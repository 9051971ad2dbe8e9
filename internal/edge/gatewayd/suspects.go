package gatewayd

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
)

// addressHash returns the hash of this gateway's address; 0 if it has no address for other
// gateways.
func (s *Server) addressHash() uint64 {
	if s.o.Settings.Peers == "" {
		return 0
	}
	return xxhash.Sum64String(s.PeersAddress())
}

// suspectRequest returns the fingerprints of the request and of the parts of its prompt.
func (x *request) suspectRequest() suspect.Request {
	return suspect.Request{Print: x.fingerprint(), Parts: x.partPrints()}
}

// partPrints returns the fingerprints of the parts of the prompt that other requests may share.
// They are computed on first use.
func (x *request) partPrints() []suspect.Print {
	if x.parts == nil {
		shared := x.call.Prompt.Shared()
		pool := xxhash.Sum64String(x.admission.Pool)
		x.parts = make([]suspect.Print, 0, min(len(shared), suspect.MaxParts))
		for _, part := range shared[:cap(x.parts)] {
			x.parts = append(x.parts, suspect.PartOf(pool, part.ID))
		}
	}
	return x.parts
}

// checkSuspect checks the request against what upstreams crashed under. It is called before the
// request is prepared, and again before each attempt, as more may be known by then.
func (x *request) checkSuspect() *gateway.Refusal {
	if !x.server.suspects.Any() {
		return nil
	}
	q := x.suspectRequest()
	before := x.judgement.Verdict
	x.server.control.DoWithoutCancel(func(now time.Time) {
		if x.checkedAt.IsZero() {
			x.server.suspects.Arrived(q)
		}
		x.checkedAt = now
		x.judgement = x.judge(now, q)
	})
	v := x.judgement.Verdict
	if v != suspect.Free && v != before {
		x.server.metrics.suspectRequests.WithLabelValues(v.String()).Inc()
	}
	switch {
	case v == suspect.Blocked:
		return gateway.CrashesUpstreams(x.progress.MayHaveRun)
	case v == suspect.Occupied && x.progress.MayHaveRun:
		return gateway.NoUpstreamLeft(x.server.now(), x.admission, x.progress)
	case v == suspect.Occupied:
		return gateway.Occupied()
	case v == suspect.Quarantined:
		x.progress.Suspect = true
	}
	return nil
}

// judge returns the verdict on the request. One that is registered as running already is not
// registered again. It runs in the control loop.
func (x *request) judge(now time.Time, q suspect.Request) suspect.Judgement {
	if x.judgement.Verdict != suspect.Quarantined {
		return x.server.suspects.Admit(now, q)
	}
	if j := x.server.suspects.Check(now, q); j.Verdict == suspect.Blocked {
		x.server.suspects.Release(x.judgement)
		return j
	}
	return x.judgement
}

// recheckAfter is the time after which a request is checked again before it is sent. Within less
// hardly anything becomes known, and most requests are sent at once.
const recheckAfter = 50 * time.Millisecond

// needsCheck reports whether the request was last checked some time ago.
func (x *request) needsCheck() bool { return x.server.now().Sub(x.checkedAt) > recheckAfter }

// blocked reports whether the request is blocked by now.
func (x *request) blocked() bool {
	if !x.server.suspects.Any() {
		return false
	}
	q := x.suspectRequest()
	v := suspect.Free
	x.server.control.DoWithoutCancel(func(now time.Time) { v = x.server.suspects.Check(now, q).Verdict })
	return v == suspect.Blocked
}

// releaseSuspect records that a quarantined request no longer runs.
func (x *request) releaseSuspect() {
	if x.judgement.Verdict == suspect.Quarantined {
		x.server.control.DoWithoutCancel(func(time.Time) { x.server.suspects.Release(x.judgement) })
	}
}

// survived reports whether the attempt showed that the request does not crash its upstream: it
// was answered to the end, with success or with another answer of an upstream that processed it.
// Without a length the end of an answer proves less, and with a status of 500 or above the upstream
// may have failed before it ran the request.
func (x *request) survived(o balance.Outcome) bool {
	return o == balance.Completed && (x.succeeded || (x.processed && !x.unframed))
}

// provenSound returns the fingerprints that an attempt which survived clears. An answer without
// success may have been given before the prompt was read.
func (x *request) provenSound() suspect.Request {
	q := x.suspectRequest()
	if !x.succeeded {
		q.Parts = nil
	}
	return q
}

// ranForLong reports whether the stream of the current attempt ran for long.
func (x *request) ranForLong(now time.Time) bool {
	return !x.firstEventAt.IsZero() && now.Sub(x.firstEventAt) >= suspects.HarmlessAfter
}

// recordHarmless records that the stream of the current attempt has run for long, so that neither
// the request nor a part of its prompt crashes upstreams that begin it.
func (x *request) recordHarmless() {
	q := x.suspectRequest()
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.server.suspects.ReportSuccess(now, q, now.Sub(x.sentAt), x.call.ID)
	})
}

// failedAt describes the current attempt as one that failed at the upstream.
func (x *request) failedAt(c balance.Choice) suspects.Failure {
	return suspects.Failure{
		Suspect: x.suspectRequest(), Request: x.call.ID, Organisation: x.organisation(), Parts: partNames(x.call.Prompt),
		IncarnationKey: c.IncarnationKey(), Upstream: c.ID, Ran: x.server.now().Sub(x.sentAt),
	}
}

// checkLost checks whether the upstream ended while it ran the request, and returns the
// verdict on the request. The end of a leaving upstream is expected and does not count.
func (x *request) checkLost(ctx context.Context, c balance.Choice) suspect.Verdict {
	if x.ranForLong(x.server.now()) {
		return suspect.Free
	}
	s := x.server
	lost := x.failedAt(c)
	var j suspect.Judgement
	leaving, known := false, false
	s.control.DoWithoutCancel(func(now time.Time) {
		if leaving = s.table.EndExpected(c.ID); leaving {
			return
		}
		lost.At = now
		s.addLost(lost)
		known = s.table.IsGone(now, c.Instance)
	})
	if leaving {
		return suspect.Free
	}
	ended := known || s.client.Refuses(ctx, c.Address, suspects.ProbeTimeout)
	s.control.DoWithoutCancel(func(now time.Time) {
		if ended {
			s.recordUpstreamEnd(now, c.Instance, balance.Dead)
			s.table.MarkGone(now, c.Instance)
		}
		j = s.suspects.Check(now, lost.Suspect)
	})
	x.progress.Suspect = j.Verdict != suspect.Free
	if j.Verdict == suspect.Blocked {
		x.cause = j.Print
	}
	return j.Verdict
}

// verifySuspects confirms the crashes that other gateways reported: those of upstreams that
// have ended as far as this gateway knows. It runs in the control loop.
func (s *Server) verifySuspects(now time.Time) {
	if !s.suspects.Any() {
		return
	}
	ended := s.table.EndedIncarnations(now)
	s.suspects.Verify(s.listedAt, func(incarnation uint64) bool { return ended[incarnation] })
}
