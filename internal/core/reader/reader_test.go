package reader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A watch that follows one with changes returns before the view is stale for the
// followers of this gateway.
func TestWatchAfterChanges(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		// least and most bound the wait, as a fraction of the usual one.
		least, most float64
	}{
		{"just proved current", 0, 0.95, 1},
		{"half as old as a watch", 1250 * time.Millisecond, 0.4, 0.6},
		{"as old as a watch", 2500 * time.Millisecond, minWatchShare, minWatchShare},
		{"much older", time.Minute, minWatchShare, minWatchShare},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := Bounds{MaxKeyAge: 5 * time.Second}
			is.Equal(b.DefaultWatchWait(), 2500*time.Millisecond)
			share := float64(b.nextWatchWait(View{InForce: true, Age: tt.age})) / float64(b.DefaultWatchWait())
			is.True(share >= tt.least && share <= tt.most)
		})
	}
}
