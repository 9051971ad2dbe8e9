package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// An engine got more than its memory holds while others had room, and preempted requests
// in the middle of their answers.
func TestFullMemoryCosts(t *testing.T) {
	tests := []struct {
		name    string
		memory  int
		running int
		load    Load
		full    bool
	}{
		{"room", 100_000, 2, Load{}, false},
		{"filled by own requests", 40_000, 4, Load{}, true},
		{"filled by other gateways", 40_000, 1, Load{Running: 5}, true},
		{"unknown memory size", 0, 50, Load{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 1)
			p := table.pools["p"]
			p.engine = &ingress.Engine{MemoryTokens: tt.memory}
			r := Request{Pool: "p", Route: "long", Prompt: prompt(1, 1)}
			for range tt.running {
				_, _ = table.Pick(t0, r)
			}
			u := p.members[0]
			tt.load.Running += tt.running
			table.SetLoad(t0, u.ID, tt.load)
			is.Equal(p.overflow(t0, u, r) > 0, tt.full)
		})
	}
}
