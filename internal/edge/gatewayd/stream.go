package gatewayd

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
)

// heardEvery is how often a running stream tells that its upstream lives.
const heardEvery = 200 * time.Millisecond

// relayStream passes on whole events as they come. After a break the events
// that the caller has are never sent again, whatever the next upstream begins with: one that
// goes on after the last event of its run sends that one once more. A part of an event was
// never sent.
func (x *request) relayStream(ctx context.Context, a answer) (gateway.Failure, error) {
	br := readers.Get().(*bufio.Reader)
	br.Reset(a)
	defer readers.Put(br)
	out := http.NewResponseController(x.w)
	began := false
	// behind is true until an event comes that the caller does not have yet.
	behind := x.events > 0
	heard := x.server.now()
	last := heard
	var gaps balance.Gaps
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			x.commitStream(a)
			x.sound = true
			return gateway.None, nil
		}
		if err != nil {
			return x.failureOf(ctx, err), errors.Wrapf(err, "stream broken after %d events", x.events)
		}
		now := x.server.now()
		x.patience.eventCame()
		if !began {
			began = true
			x.firstAt = now
			x.answerBegan(a)
			heard = now
			last = now
		}
		if now != last {
			gaps = gaps.With(now.Sub(last))
			x.longestGap = max(x.longestGap, now.Sub(last))
			last = now
		}
		if now.Sub(heard) >= heardEvery {
			heard = now
			told := gaps
			gaps = balance.Gaps{}
			x.server.control.DoWithoutCancel(func(now time.Time) { x.server.table.DataReceived(now, a.choice.ID, told) })
		}
		x.commitStream(a)
		if behind && !e.follows(x.lastEvent) {
			x.repeated++
			x.patience.eventSent()
			continue
		}
		behind = false
		if err := x.send(out, e); err != nil {
			return gateway.CallerGone, err
		}
		x.patience.eventSent()
	}
}

// commitStream sends the head of the answer, unless an earlier upstream's went
// to the caller.
func (x *request) commitStream(a answer) {
	if !x.progress.ResponseStarted {
		x.commit(a.StatusCode, a.Header, -1)
	}
}

// send passes on one event.
func (x *request) send(out *http.ResponseController, e event) error {
	if _, err := x.w.Write(e.raw); err != nil {
		return errors.WithStack(err)
	}
	if err := out.Flush(); err != nil {
		return errors.WithStack(err)
	}
	x.events++
	if e.id != "" {
		x.lastEvent = e.id
	}
	return nil
}
