package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFinalStatesStay(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name   string
		states []State
		want   State
	}{
		{"refused attempt stays refused", []State{Waiting, NotRun, Granted, Running}, NotRun},
		{"started attempt never becomes not run", []State{Waiting, Granted, Running, NotRun}, Running},
		{"started attempt does not wait again", []State{Running, Waiting}, Running},
		{"attempt that ran stays so", []State{Running, Ran, NotRun}, Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New(time.Minute)
			for _, s := range tt.states {
				l.Set(now, "a", s)
			}
			is.Equal(l.State("a"), tt.want)
		})
	}
}

func TestSweepDeletesOnlyOldFinalRecords(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := New(time.Minute)
	l.Set(now, "old", NotRun)
	l.Set(now, "running", Running)
	l.Set(now.Add(59*time.Second), "new", Ran)
	l.Sweep(now.Add(time.Minute))
	is.Equal(l.Len(), 2)
	is.Equal(l.State("old"), None)
	is.Equal(l.State("running"), Running)
}
