package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// boundedBytes is what waits for a slow output at the most; a few thousand
// lines.
const boundedBytes = 256 << 10

// pieceBytes is the most that is written in one call, but for a longer line: a pipe takes as
// much in one piece, whoever else writes to it, and readers with a buffer of their own lose
// nothing of a burst.
const pieceBytes = 4 << 10

// Bounded is a writer that never blocks: lines that do not fit its buffer are
// dropped and counted. It is safe for concurrent use.
type Bounded struct {
	out io.Writer
	mu  sync.Mutex
	buf bytes.Buffer
	// wake tells the writer that lines wait; done tells it to end.
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	writer  errgroup.Group
}

// NewBounded returns a writer to out. Close writes what is left.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	b.writer.Go(b.run)
	return b
}

// Write takes one line, or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := b.buf.Len()+len(line) <= boundedBytes
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

// Close writes what waits and ends the writer.
func (b *Bounded) Close() error {
	close(b.done)
	return b.writer.Wait()
}

// run writes everything that waits, until done is closed.
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
			n := pieceOf(left)
			if _, err := b.out.Write(left[:n]); err != nil {
				// There is nowhere left to tell; the lines count as dropped.
				b.dropped.Add(uint64(bytes.Count(left[:n], []byte("\n"))))
			}
			left = left[n:]
		}
		if stop {
			return nil
		}
	}
}

// pieceOf returns the length of the first piece: as many whole lines as fit, and one line at
// least.
func pieceOf(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:pieceBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}
