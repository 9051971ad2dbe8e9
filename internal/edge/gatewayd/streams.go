package gatewayd

import (
	"context"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
)

// A stream must go on at the software version that began it. A gateway records the version
// before it sends the first event. Unless a single version is proven to serve the pool, it
// reports the version to two others as well. Whoever takes a stream up looks its version up.

// maxVersionAge is the maximum age of the list of upstreams for which it proves that a single
// version serves. In calm the list is up to 2.85 s old.
const maxVersionAge = 3 * time.Second

// How the version of a stream that is taken up became known, in log lines and metrics.
const (
	versionOwn         = "own"          // The stream was begun or taken up here before.
	versionReported    = "reported"     // Another gateway reported it here.
	versionSingle      = "single"       // The pool has had a single version.
	versionFound       = "found"        // Another gateway answered that it knows the stream.
	versionFoundSingle = "found_single" // Another gateway answered that there has been a single version.
	versionUnknown     = "unknown"
)

// streams is what a gateway knows of the streams of callers. It is used only in the control
// loop.
type streams struct {
	versions *rollout.Tracker
	// own are the streams that this gateway began or took up, reported those of others.
	own, reported *stream.Registry
	// window is how long a stream may be taken up after its beginning.
	window time.Duration
	// kinds are the kinds of knowledge about the versions of each pool that were last logged.
	kinds map[string]rollout.Kind
}

func newStreams(firstStart bool) streams {
	return streams{
		versions: rollout.NewTracker(firstStart),
		own:      stream.NewRegistry(),
		reported: stream.NewRegistry(),
		window:   stream.Window(0),
		kinds:    make(map[string]rollout.Kind),
	}
}

// setTable applies the configuration.
func (s *streams) setTable(t *ingress.Table) {
	s.window = stream.Window(t.LongestResumable())
	s.own.SetWindow(s.window)
	s.reported.SetWindow(s.window)
}

// sweep drops what has expired.
func (s *streams) sweep(now time.Time) { s.versions.Sweep(now, s.window) }

// knownStream is the version of a stream that is taken up.
type knownStream struct {
	version rollout.Version
	// from says how it became known.
	from string
	// single is true if the pool is proven to have had a single version. Otherwise seen is the
	// only version that this gateway has seen there; unstated if there are several.
	single bool
	seen   rollout.Version
}

// versionState returns what is known of the versions that have served the pool. An old list of
// upstreams proves nothing, as another version may serve by now. It runs in the control loop.
func (s *Server) versionState(now time.Time, pool string) rollout.State {
	state := s.streams.versions.State(now, pool, s.streams.window)
	if state.Kind == rollout.Single && state.Version != rollout.Unstated && now.Sub(s.storeReadAt) > maxVersionAge {
		state.Kind = rollout.Unproven
	}
	return state
}

// findHere returns the version of a stream as far as this gateway knows. It runs in the
// control loop.
func (s *Server) findHere(now time.Time, pool string, a stream.Attempt) knownStream {
	state := s.versionState(now, pool)
	k := knownStream{from: versionUnknown, single: state.Kind == rollout.Single, seen: state.Version}
	if v, ok := s.streams.own.Find(now, a); ok {
		k.version, k.from = v, versionOwn
	} else if v, ok := s.streams.reported.Find(now, a); ok {
		k.version, k.from = v, versionReported
	} else if k.single {
		k.version, k.from = state.Version, versionSingle
	}
	return k
}

// observeVersions records which versions serve. It runs in the control loop.
func (s *Server) observeVersions(now time.Time, list []balance.Instance) {
	serving := make([]rollout.Serving, len(list))
	for i, in := range list {
		serving[i] = rollout.Serving{Pool: in.Pool, Version: in.SoftwareVersion()}
	}
	s.streams.versions.Observe(now, serving)
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
		kind := s.versionState(now, pool).Kind
		before := s.streams.kinds[pool]
		if kind == before {
			continue
		}
		s.streams.kinds[pool] = kind
		s.log.Info().Str("pool", pool).Stringer("software", kind).Stringer("before", before).
			Dur("window", s.streams.window).Msg("upstreams: software versions changed")
		if before == rollout.Single {
			s.reportAll(now)
		}
	}
}

// takesUp reports whether the caller takes up a stream of which it has events.
func (x *request) takesUp() bool {
	route := x.admission.Route
	return route.Kind == ingress.Stream && route.Resumable && (x.call.LastEvent != "" || x.call.Resumes != "")
}

// takeUp finds the version of a stream that the caller takes up. It refuses the request if the
// version is not known.
func (x *request) takeUp(ctx context.Context) *gateway.Refusal {
	if !x.takesUp() {
		return nil
	}
	s := x.server
	attempt := stream.AttemptOf(x.call.Resumes)
	var k knownStream
	s.control.DoWithoutCancel(func(now time.Time) { k = s.findHere(now, x.admission.Pool, attempt) })
	if k.from == versionUnknown && x.call.Resumes != "" {
		k = s.findElsewhere(ctx, x.admission.Pool, attempt, k)
	}
	s.metrics.takenUp.WithLabelValues(k.from).Inc()
	x.logTakenUp(k)
	if k.from == versionUnknown {
		return gateway.UnknownVersion()
	}
	x.version, x.singleVersion = k.version, k.single
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
		x.singleVersion = s.versionState(now, x.admission.Pool).Kind == rollout.Single
		if x.admission.Route.Resumable {
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
	x.server.streams.own.Add(now, attempt, x.version)
	if x.singleVersion {
		return nil
	}
	return x.server.report(x.version, []stream.Attempt{attempt})
}

// checkVersion marks a response that has begun as impossible to resume if its upstreams may
// differ in software and the version that began it is not known.
func (x *request) checkVersion() {
	if !x.progress.ResponseStarted || x.version != rollout.Unstated {
		return
	}
	x.server.control.DoWithoutCancel(func(now time.Time) {
		x.progress.VersionUnknown = x.server.versionState(now, x.admission.Pool).Kind == rollout.Several
	})
}

// noUpstreamLeft returns the refusal if no upstream is left to try.
func (x *request) noUpstreamLeft() *gateway.Refusal {
	if !x.singleVersion && x.version != rollout.Unstated && x.progress.Sent+x.progress.Unsent == 0 {
		return gateway.UnavailableVersion()
	}
	return gateway.NoUpstreamLeft(x.server.now(), x.admission, x.progress)
}
