package gatewayd

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// readerPool keeps buffers for the next streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// event is one whole event of a stream, as it was written.
type event struct {
	raw []byte
	// id is empty if the event does not say.
	id string
}

// readEvent reads up to and with the blank line that ends an event. At the end
// of the stream it returns io.EOF; a part of an event is an error.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	// begin is where the present line begins; a long one comes in pieces.
	begin := 0
	for {
		piece, err := br.ReadSlice('\n')
		e.raw = append(e.raw, piece...)
		if len(e.raw) > maxEventBytes {
			return e, errors.New("an event is too large")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errors.New("the stream ended inside an event")
		case err != nil:
			return e, errors.WithStack(err)
		}
		line := bytes.TrimRight(e.raw[begin:], "\r\n")
		begin = len(e.raw)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			return e, nil
		}
	}
}

// follows reports whether the event comes after the one with the identity, or cannot be
// compared with it. Identities of a stream rise.
func (e event) follows(last string) bool {
	if e.id == "" || last == "" {
		return true
	}
	id, err := strconv.ParseUint(e.id, 10, 64)
	after, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return e.id != last
	}
	return id > after
}
