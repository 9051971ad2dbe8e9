package gatewayd

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/eventstream"
)

const (
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size up to which an event does not count towards the memory of all
	// events. Nearly all events are smaller.
	smallEventBytes = 4 << 10
	// maxLoggedEventBytes is how much of an invalid event is logged.
	maxLoggedEventBytes = 96
)

// errEventMemory is returned for an event for which there is no memory at the moment.
var errEventMemory = errors.New("the events in progress are too large")

// readerPool holds buffered readers for reuse by later streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, smallEventBytes) }}

// event is one complete event of a stream, as the upstream wrote it, or padding between events.
type event struct {
	raw   []byte
	block eventstream.Block
}

// invalidEventError means that the stream holds bytes that no run of the request made.
type invalidEventError struct {
	fault eventstream.Fault
	// size is the number of bytes up to the next blank line, and head the first ones of them.
	size int
	head string
}

func newInvalidEventError(fault eventstream.Fault, raw []byte) *invalidEventError {
	return &invalidEventError{fault: fault, size: len(raw), head: string(raw[:min(len(raw), maxLoggedEventBytes)])}
}

// Error says what is wrong, without the bytes.
func (e *invalidEventError) Error() string {
	return "event of no run: " + string(e.fault)
}

// eventReader reads the events of a stream.
type eventReader struct {
	br     *bufio.Reader
	memory *eventMemory
	// reserved is the part of memory that the latest event takes.
	reserved int
	// run are the events so far, and begun is true once there was one.
	run   eventstream.Run
	begun bool
	// unchecked takes any block for an event. Only the streams of routes with streams are known to
	// have IDs.
	unchecked bool
}

// newEventReader returns a reader of the stream, to be closed.
func newEventReader(stream io.Reader, memory *eventMemory) *eventReader {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(stream)
	return &eventReader{br: br, memory: memory}
}

// close releases the memory of the reader, and of its latest event.
func (r *eventReader) close() {
	r.memory.release(r.reserved)
	readerPool.Put(r.br)
}

// next returns the next event, or the next padding behind the first event. Padding before the first
// event is a part of it: a response that holds nothing else yet has not begun. At the end of the
// stream next returns io.EOF; a partial event is another error, and anything else that is neither an
// event of the run nor padding an invalidEventError. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.memory.release(r.reserved)
	r.reserved = 0
	var e event
	for {
		start := len(e.raw)
		err := r.readBlock(&e)
		if errors.Is(err, io.EOF) && start > 0 {
			return e, nil // padding without an event
		}
		if err != nil {
			return e, err
		}
		var fault eventstream.Fault
		if e.block, fault = r.check(e.raw[start:]); fault != eventstream.Sound {
			return e, &unusableError{cause: newInvalidEventError(fault, e.raw[start:])}
		}
		if r.begun = r.begun || !e.block.Padding; r.begun {
			return e, nil
		}
	}
}

// readBlock appends what comes up to and including the next blank line. It returns io.EOF if nothing
// comes.
func (r *eventReader) readBlock(e *event) error {
	start := len(e.raw)
	// lineStart is the offset of the current line; a long line arrives in pieces.
	lineStart := start
	for {
		piece, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, piece...)
		if len(e.raw) > maxEventBytes {
			return errors.New("an event is too large")
		}
		if !r.reserve(cap(e.raw)) {
			return errEventMemory
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == start:
			return io.EOF
		case errors.Is(err, io.EOF):
			return errors.New("the stream ended inside an event")
		case err != nil:
			return errors.WithStack(err)
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(line) == 0 {
			return nil
		}
	}
}

// check returns what the bytes hold, and why no run of the request made them.
func (r *eventReader) check(raw []byte) (eventstream.Block, eventstream.Fault) {
	if r.unchecked {
		return eventstream.Block{}, eventstream.Sound
	}
	block, fault := eventstream.Parse(raw)
	if fault != eventstream.Sound || block.Padding {
		return block, fault
	}
	r.run, fault = r.run.With(block)
	return block, fault
}

// reserve reserves the memory for an event of that size in addition to what it has. It returns
// false if there is none.
func (r *eventReader) reserve(size int) bool {
	if size <= max(smallEventBytes, r.reserved) {
		return true
	}
	if !r.memory.reserve(size - r.reserved) {
		return false
	}
	r.reserved = size
	return true
}
