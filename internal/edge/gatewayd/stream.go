package gatewayd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/gateway"
	"github.com/gladegauge/gladegauge/internal/edge/exchange"
	"github.com/gladegauge/gladegauge/platform"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// heardEvery is how often a running stream tells that its upstream lives.
	heardEvery = 200 * time.Millisecond
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// event is one whole event of a stream, as it was written.
type event struct {
	raw []byte
	id  string
}

// readEvent reads up to and with the blank line that ends an event. At the end
// of the stream it returns io.EOF; a part of an event is an error.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEventBytes {
				return e, errors.New("an event is too large")
			}
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errors.New("the stream ended inside an event")
		case err != nil:
			return e, errors.WithStack(err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			return e, nil
		}
	}
}

// relayStream passes on whole events as they come. After a break the events
// that the caller has are never sent again, and a part of one was never sent.
func (x *request) relayStream(ctx context.Context, choice balance.Choice, a *exchange.Answer, head platform.Answer) (gateway.Failure, error) {
	br := readers.Get().(*bufio.Reader)
	br.Reset(a)
	defer readers.Put(br)
	out := http.NewResponseController(x.w)
	began := false
	heard := time.Now()
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			if !x.progress.Answering {
				x.commit(a.StatusCode, a.Header, -1)
			}
			return 0, nil
		}
		if err != nil {
			return x.failureOf(ctx, err), errors.Wrapf(err, "stream broken after %d events", x.events)
		}
		now := time.Now()
		if !began {
			began = true
			x.first(choice, head.Load)
			heard = now
		} else if now.Sub(heard) >= heardEvery {
			heard = now
			x.server.control.Must(func(now time.Time) { x.server.table.Heard(now, choice.ID) })
		}
		if !x.progress.Answering {
			x.commit(a.StatusCode, a.Header, -1)
		}
		if err := x.send(out, e); err != nil {
			return gateway.CallerGone, err
		}
	}
}

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
