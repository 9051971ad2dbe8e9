package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// firstPart is an output that keeps no more of each write than a buffer of its own holds, and
// writes nothing before it is let go.
type firstPart struct {
	mu   sync.Mutex
	most int
	kept bytes.Buffer
}

// Write takes the beginning.
func (p *firstPart) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept.Write(b[:min(len(b), p.most)])
	return len(b), nil
}

// A burst of lines is written whole, though the output takes it with a small buffer: after a
// host stood still, the lines of many requests came in one piece, and all beyond its first
// kilobytes were lost.
func TestBurstOfLinesIsWrittenWhole(t *testing.T) {
	tests := []struct {
		name  string
		lines int
		// length is that of each line.
		length int
	}{
		{"one line", 1, 300},
		{"a piece", 10, 300},
		{"many pieces", 400, 300},
		{"lines as long as a piece", 5, pieceBytes},
		{"longer lines", 3, pieceBytes + 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			out := &firstPart{most: 2 * pieceBytes}
			out.mu.Lock() // all lines wait
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
			is.Equal(out.kept.String(), want.String())
			is.Equal(b.Dropped(), uint64(0))
		})
	}
}
