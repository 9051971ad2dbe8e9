package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// maxBufferBytes is the size limit of the buffer for a slow output; it holds a few thousand
// lines.
const maxBufferBytes = 256 << 10

// maxWriteBytes is the maximum size of one write, except for a single longer line. Writes of
// up to this size to a pipe are atomic even with other writers, and readers with a small
// buffer lose nothing of a burst.
const maxWriteBytes = 4 << 10

// Bounded is a writer that never blocks: lines that do not fit into its buffer are dropped
// and counted. It is safe for concurrent use.
type Bounded struct {
	out io.Writer
	mu  sync.Mutex
	buf bytes.Buffer
	// wake signals the writer goroutine that lines are buffered; done stops it.
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	writer  errgroup.Group

	// log writes the line about dropped lines; nil for none.
	log *zerolog.Logger
	// unreported are the drops that no line has reported yet.
	unreported Drops
}

// NewBounded returns a writer to out. Close flushes the buffered lines.
func NewBounded(out io.Writer) *Bounded {
	b := newBounded(out)
	b.start()
	return b
}

func newBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// start starts the writer goroutine. Tests start it later, so that all lines are buffered.
func (b *Bounded) start() { b.writer.Go(b.run) }

// Write buffers one line, or drops it if the buffer is full.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := b.buf.Len()+len(line) <= maxBufferBytes
	if fits {
		b.buf.Write(line)
	}
	b.mu.Unlock()
	if !fits {
		b.drop(1, time.Now())
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close writes the buffered lines and stops the writer.
func (b *Bounded) Close() error {
	close(b.done)
	return b.writer.Wait()
}

// run writes the buffered lines until done is closed.
func (b *Bounded) run() error {
	var spare []byte
	for {
		stop := false
		select {
		case <-b.wake:
		case <-b.done:
			stop = true
		}
		b.mu.Lock()
		spare = append(spare[:0], b.buf.Bytes()...)
		b.buf.Reset()
		log, drops := b.log, b.unreported
		b.unreported = Drops{}
		b.mu.Unlock()
		b.writeLines(spare)
		// The dropped lines are younger than those that were buffered.
		b.writeReport(log, drops)
		if stop {
			return nil
		}
	}
}

// writeLines writes complete lines. An error cannot be logged; the lines count as dropped.
func (b *Bounded) writeLines(left []byte) {
	for len(left) > 0 {
		n := writeLen(left)
		if _, err := b.out.Write(left[:n]); err != nil {
			b.drop(uint64(bytes.Count(left[:n], []byte("\n"))), time.Now())
		}
		left = left[n:]
	}
}

// writeLen returns the length of the next write: as many complete lines as fit, and at least
// one line.
func writeLen(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}
