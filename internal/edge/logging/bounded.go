package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

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
}

// NewBounded returns a writer to out. Close flushes the buffered lines.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	b.writer.Go(b.run)
	return b
}

// Write buffers one line, or drops it if the buffer is full.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := b.buf.Len()+len(line) <= maxBufferBytes
	if fits {
		b.buf.Write(line)
	}
	b.mu.Unlock()
	if !fits {
		b.dropped.Add(1)
		return len(line), nil
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
		b.mu.Unlock()
		for left := spare; len(left) > 0; {
			n := writeLen(left)
			if _, err := b.out.Write(left[:n]); err != nil {
				// The error cannot be logged; the lines count as dropped.
				b.dropped.Add(uint64(bytes.Count(left[:n], []byte("\n"))))
			}
			left = left[n:]
		}
		if stop {
			return nil
		}
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
