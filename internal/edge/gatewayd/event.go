package gatewayd

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// readerPool holds buffered readers for reuse by later streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// event is one complete event of a stream, as the upstream wrote it.
type event struct {
	raw []byte
	// id is empty if the event has none.
	id string
}

// readEvent reads up to and including the blank line that ends an event. At the end of the
// stream it returns io.EOF; a partial event is another error.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	// lineStart is the offset of the current line; a long line arrives in chunks.
	lineStart := 0
	for {
		chunk, err := br.ReadSlice('\n')
		e.raw = append(e.raw, chunk...)
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
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			return e, nil
		}
	}
}

// follows reports whether the event comes after the event with the ID last, or cannot be
// compared with it. The IDs of a stream increase.
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
