package gatewayd

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/eventstream"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/pace"
)

// aliveInterval is how often a running stream reports that its upstream is alive.
const aliveInterval = 200 * time.Millisecond

// relayStream forwards whole events as they arrive; partial events are never forwarded. After
// a failover, events that the caller already has are dropped, whatever event the next upstream
// starts with: an upstream that resumes after the last event of its run repeats that event. Where
// the upstream sends anything that its run did not make, the attempt is lost: what follows may
// belong to another run, whatever its IDs.
func (x *request) relayStream(ctx context.Context, a response) (gateway.Failure, error) {
	events := newEventReader(a, x.server.eventMemory)
	defer events.close()
	events.unchecked = x.admission.Route.Kind != ingress.Stream
	out := http.NewResponseController(x.w)
	started := false
	resumed, harmless := x.events > 0, false
	var times arrivals
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.endStream(a, events.run)
		}
		if err != nil {
			x.logInvalidEvent(a, err)
			return x.failureOf(ctx, err), errors.Wrapf(err, "stream broken after %d events", x.events)
		}
		x.timeouts.eventReceived()
		if e.block.Padding {
			x.commitStream(a)
			if err := x.send(out, e); err != nil {
				return gateway.CallerGone, err
			}
			x.timeouts.eventSent()
			continue
		}
		now := x.server.now()
		if !started {
			started = true
			x.firstEventAt = now
			x.responseStarted(a)
			times = arrivals{lastAt: now, reportedAt: now}
			x.beginStream(ctx, a.choice)
		}
		x.recordArrival(now, a, &times)
		if !harmless && x.ranForLong(now) {
			harmless = true
			x.recordHarmless()
		}
		x.commitStream(a)
		if resumed && x.hasEvent(e) {
			x.duplicateEvents++
		} else if err := x.send(out, e); err != nil {
			return gateway.CallerGone, err
		}
		x.timeouts.eventSent()
	}
}

// endStream ends the response if its run has come to the last event that the caller has. Otherwise
// the attempt has lost what follows.
func (x *request) endStream(a response, run eventstream.Run) (gateway.Failure, error) {
	if !run.Reaches(x.delivered) {
		return gateway.Lost, &unusableError{cause: errors.Newf("stream ended before the last of %d events", x.events)}
	}
	x.commitStream(a)
	x.succeeded = true
	return gateway.None, nil
}

// arrivals are the times at which the events of one attempt arrive.
type arrivals struct {
	lastAt, reportedAt time.Time
	// gaps are those that were not reported yet.
	gaps pace.Gaps
}

// recordArrival records that an event of the attempt arrived, and reports from time to time that
// its upstream is alive.
func (x *request) recordArrival(now time.Time, a response, t *arrivals) {
	if now != t.lastAt {
		gap := now.Sub(t.lastAt)
		t.gaps = t.gaps.With(gap)
		t.lastAt = now
		x.longestGap = max(x.longestGap, gap)
	}
	if now.Sub(t.reportedAt) < aliveInterval {
		return
	}
	reported := t.gaps
	t.reportedAt, t.gaps = now, pace.Gaps{}
	x.server.control.DoWithoutCancel(func(now time.Time) { x.server.table.DataReceived(now, a.choice.ID, reported) })
}

// commitStream sends the response header, unless that of an earlier upstream was already
// sent.
func (x *request) commitStream(a response) {
	if !x.progress.ResponseStarted {
		x.commit(a.StatusCode, a.Header, -1)
		x.progress.Unresumable = x.admission.Route.Kind != ingress.Stream
	}
}

// send writes one event or padding to the caller and flushes it.
func (x *request) send(out *http.ResponseController, e event) error {
	if _, err := x.w.Write(e.raw); err != nil {
		return errors.WithStack(err)
	}
	if err := out.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if e.block.Padding {
		return nil
	}
	x.events++
	if delivered, fault := x.delivered.With(e.block); fault == eventstream.Sound {
		x.delivered, x.lastEventID = delivered, e.block.ID
	}
	return nil
}

// hasEvent reports whether the caller already has the event, or a later one.
func (x *request) hasEvent(e event) bool {
	_, fault := x.delivered.With(e.block)
	return fault == eventstream.NotRising
}
