package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGate(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1_800_000_000, 0)
	g := New()
	k := Key{Pool: "judge", Class: "question", Organisation: "hall"}
	other := Key{Pool: "judge", Class: "question", Organisation: "club"}
	pass := func(k Key, at time.Duration) bool {
		_, ok := g.Pass(t0.Add(at), k)
		return ok
	}
	is.True(pass(k, 0))
	g.Refused(t0, k, 3*time.Second)
	wait, ok := g.Pass(t0, k)
	is.True(!ok)
	is.Equal(wait, 3*time.Second)
	is.True(pass(other, 0))            // Another organisation is not held back.
	is.True(pass(k, ProbeInterval))    // A probe.
	is.True(!pass(k, ProbeInterval+1)) // One probe at a time.
	is.True(pass(k, ClosePeriod))      // The gate opens by itself.
	g.Refused(t0.Add(ClosePeriod), k, 0)
	is.True(!pass(k, ClosePeriod+1))
	g.Admitted(k) // A probe was admitted.
	is.True(pass(k, ClosePeriod+2))
}
