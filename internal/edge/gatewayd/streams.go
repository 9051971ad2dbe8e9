package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
)

// A stream must go on at the software version that began it. A gateway records the version
// before it sends the first event. Unless a single version is proven to serve the pool, it
// reports the version to two others as well. Whoever resumes a stream looks its version up.

// streams is what a gateway knows of the streams of callers. It is used only in the control
// loop.
type streams struct {
	*stream.Tracker
	// kinds are the kinds of knowledge about the versions of each pool that were last logged.
	kinds map[string]rollout.Kind
	// settledAskedAt is when other gateways were last asked for settled versions.
	settledAskedAt time.Time
}

func newStreams(firstStart bool) streams {
	return streams{Tracker: stream.NewTracker(firstStart), kinds: make(map[string]rollout.Kind)}
}

// observeVersions records which versions serve. It runs in the control loop.
func (s *Server) observeVersions(now time.Time, list []balance.Instance) {
	serving := make([]rollout.Serving, len(list))
	for i, in := range list {
		serving[i] = rollout.Serving{Pool: in.Pool, Version: in.SoftwareVersion()}
	}
	s.streams.Observe(now, serving)
	s.updateVersionKinds(now)
}

// updateVersionKinds logs what is known of the versions of each pool if it has changed. Once a
// single version is no longer proven, it reports the streams of this gateway, as nobody had to
// know them before. It runs in the control loop.
func (s *Server) updateVersionKinds(now time.Time) {
	t := s.view.Load().Table
	if t == nil {
		return
	}
	for _, pool := range t.ResumablePools() {
		kind := s.streams.Pool(now, pool).Kind
		before := s.streams.kinds[pool]
		if kind == before {
			continue
		}
		s.streams.kinds[pool] = kind
		s.log.Info().Str("pool", pool).Stringer("software", kind).Stringer("before", before).
			Dur("window", s.streams.Windows().Proof).Msg("upstreams: software versions changed")
		if before == rollout.Single {
			s.reportAll(now)
		}
	}
}

// prepareStream finds the version of a stream that the caller resumes, or makes sure that this
// gateway knows at which versions a new one may begin. It returns a refusal if the request may
// not be sent.
func (x *request) prepareStream(ctx context.Context) *gateway.Refusal {
	switch {
	case !x.admission.Route.MayResume():
		return nil
	case x.call.LastEvent != "" || x.call.Resumes != "":
		return x.resolveVersion(ctx)
	default:
		x.server.learnSettled(ctx, x.admission.Pool)
		return nil
	}
}

// resolveVersion finds the version of the stream that the caller resumes. It refuses the request
// if the version is not known.
func (x *request) resolveVersion(ctx context.Context) *gateway.Refusal {
	s := x.server
	attempt := stream.AttemptOf(x.call.Resumes)
	var k stream.Known
	s.control.DoWithoutCancel(func(now time.Time) { k = s.streams.Find(now, x.admission.Pool, attempt) })
	if k.Source == stream.Unknown && x.call.Resumes != "" {
		k = s.findElsewhere(ctx, x.admission.Pool, attempt, k)
	}
	s.metrics.callerResumes.WithLabelValues(string(k.Source)).Inc()
	x.logResume(k)
	if k.Source == stream.Unknown {
		return gateway.UnknownVersion()
	}
	x.version, x.mayLackVersion = k.Version, k.Pool.Kind != rollout.Single
	s.control.DoWithoutCancel(func(now time.Time) { x.recordStream(now, x.call.Resumes) })
	return nil
}

// beginStream records at which version a stream began, before its first event is sent to the
// caller. Unless the pool has a single version, it waits until another gateway knows it.
func (x *request) beginStream(ctx context.Context, choice balance.Choice) {
	if x.version != rollout.Unstated {
		return
	}
	s := x.server
	var acknowledged <-chan struct{}
	s.control.DoWithoutCancel(func(now time.Time) {
		x.version = s.table.VersionAt(choice)
		if x.admission.Route.MayResume() {
			acknowledged = x.recordStream(now, x.call.ID)
		}
	})
	if acknowledged != nil {
		awaitReport(ctx, acknowledged)
	}
}

// recordStream records the version of the stream that began with the attempt. Unless the pool
// has a single version, it also reports it, and returns a channel that is closed once another
// gateway knows it. It runs in the control loop.
func (x *request) recordStream(now time.Time, id string) <-chan struct{} {
	if id == "" || x.version == rollout.Unstated {
		return nil
	}
	attempt := stream.AttemptOf(id)
	if !x.server.streams.Begin(now, x.admission.Pool, attempt, x.version, x.call.CallerTimeout) {
		return nil
	}
	return x.server.report(x.version, x.call.CallerTimeout, []stream.Attempt{attempt})
}

// checkVersion marks a response that has begun as impossible to resume if its upstreams may
// differ in software and the version that began it is not known.
func (x *request) checkVersion() {
	if !x.progress.ResponseStarted || x.version != rollout.Unstated {
		return
	}
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.progress.VersionUnknown = x.server.streams.Pool(now, x.admission.Pool).Kind != rollout.Single
	})
}

// noUpstreamLeft returns the refusal if no upstream is left to try.
func (x *request) noUpstreamLeft() *gateway.Refusal {
	if x.mayLackVersion && x.version != rollout.Unstated && x.progress.Sent+x.progress.Unsent == 0 {
		return gateway.UnavailableVersion()
	}
	return gateway.NoUpstreamLeft(x.server.now(), x.admission, x.progress)
}
