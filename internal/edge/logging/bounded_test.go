package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// truncatingWriter is an output that keeps only the first limit bytes of each write, and
// blocks while its mutex is locked.
type truncatingWriter struct {
	mu      sync.Mutex
	limit   int
	written bytes.Buffer
}

// Write keeps the beginning of b.
func (w *truncatingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written.Write(b[:min(len(b), w.limit)])
	return len(b), nil
}

// TestBurstIsWrittenCompletely guards against log lines lost by a reader with a small buffer:
// after a pause of the host, the lines of many requests were written in one call, and all
// beyond the first kilobytes were lost.
func TestBurstIsWrittenCompletely(t *testing.T) {
	tests := []struct {
		name  string
		lines int
		// length is that of each line.
		length int
	}{
		{"one line", 1, 300},
		{"one write", 10, 300},
		{"many writes", 400, 300},
		{"lines of the maximum write size", 5, maxWriteBytes},
		{"longer lines", 3, maxWriteBytes + 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			out := &truncatingWriter{limit: 2 * maxWriteBytes}
			out.mu.Lock() // all lines are buffered
			b := NewBounded(out)
			var want strings.Builder
			for i := range tt.lines {
				line := strings.Repeat(string(rune('a'+i%26)), tt.length-1) + "\n"
				want.WriteString(line)
				_, err := b.Write([]byte(line))
				is.NoErr(err)
			}
			out.mu.Unlock()
			is.NoErr(b.Close())
			is.Equal(out.written.String(), want.String())
			is.Equal(b.Dropped(), uint64(0))
		})
	}
}
