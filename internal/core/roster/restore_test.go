package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// What is known of upstreams goes before what a copy of the list says, until it is written
// again.
func TestRestore(t *testing.T) {
	const lapse = 4800
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	listed := func(ids string) []balance.Instance {
		var list []balance.Instance
		for _, id := range ids {
			list = append(list, balance.Instance{ID: string(id), Born: 5})
		}
		return list
	}
	// restore lets a copy come back at 0 that was not there 100 ms before.
	restore := func(r *Roster, list []balance.Instance) {
		r.Restore(at(0), Return{After: at(-100), Lapse: lapse * time.Millisecond}, list, nil)
	}
	tests := []struct {
		name string
		do   func(r *Roster)
		at   int
		want string
		// leaving are those that leave.
		leaving string
	}{
		{"what the copy has is there", func(r *Roster) { restore(r, listed("ab")) }, 0, "ab", ""},
		{"what the copy lacks is kept", func(r *Roster) { restore(r, listed("a")) }, 2000, "ab", ""},
		{"and is gone if it is not written again", func(r *Roster) { restore(r, listed("a")) }, 2100, "a", ""},
		{"and stays if it is", func(r *Roster) {
			restore(r, listed("a"))
			r.Change(at(900), listed("b"), nil)
		}, 9000, "ab", ""},
		{"what leaves still leaves", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("ab"))
		}, 9000, "ab", "a"},
		{"until it is written otherwise", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("ab"))
			r.Change(at(900), listed("a"), nil)
		}, 9000, "ab", ""},
		{"a later start of it does not", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, []balance.Instance{{ID: "a", Born: 6}, {ID: "b", Born: 5}})
		}, 0, "ab", ""},
		{"what leaves and is not in the copy is gone", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("b"))
		}, 0, "b", ""},
		{"what is gone stays so", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
		}, lapse - 1, "b", ""},
		{"also if the list is read once more", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Replace(at(10), listed("ab"))
		}, lapse - 1, "b", ""},
		{"until its entry has outlasted what it would without it", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
		}, lapse, "ab", ""},
		{"or is written again", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Change(at(900), listed("a"), nil)
		}, 900, "ab", ""},
		{"if its entry goes it is not back", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Change(at(900), nil, []string{"a"})
		}, 9000, "b", ""},
		{"a later start of what is gone is there", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, []balance.Instance{{ID: "a", Born: 6}, {ID: "b", Born: 5}})
		}, 0, "ab", ""},
		{"what went long ago is forgotten", func(r *Roster) {
			r.Change(at(-61_000), nil, []string{"a"})
			r.Change(at(-900), listed("b"), nil)
			restore(r, listed("ab"))
		}, 0, "ab", ""},
		{"an earlier start is none", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 7, Leaving: true}}, nil)
			restore(r, listed("ab"))
		}, 0, "b", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Replace(at(-62_000), listed("ab"))
			tt.do(r)
			list := r.Current(at(tt.at))
			is.Equal(ids(list), tt.want)
			leaving := ""
			for _, in := range list {
				if in.Leaving {
					leaving += in.ID
				}
			}
			is.Equal(leaving, tt.leaving)
		})
	}
}

// The list changes by itself when something that was kept in a restore ends.
func TestEndsAfterARestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []balance.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	r.Change(now, nil, []string{"c"})
	r.Evacuate("z")
	r.Restore(now, Return{After: now.Add(-time.Second), Lapse: 5 * time.Second}, []balance.Instance{{ID: "a"}, {ID: "c"}}, nil)
	is.Equal(ids(r.Current(now)), "ab")
	is.Equal(r.Lapsed(), 1)
	is.Equal(r.Doubted(), 1)
	for _, want := range []struct {
		after     time.Duration
		list      string
		evacuated int
	}{{1200 * time.Millisecond, "a", 0}, {5 * time.Second, "ac", 0}} {
		end, ok := r.NextEnd()
		is.True(ok)
		is.Equal(end.Sub(now), want.after)
		is.Equal(ids(r.Current(end)), want.list)
		is.Equal(len(r.Evacuated()), want.evacuated)
	}
	_, ok := r.NextEnd()
	is.True(!ok)
}

// An availability zone that is emptied stays so if a copy of the list lacks it, for a moment
// or as soon as it is written again.
func TestEvacuationInARestore(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		after func(r *Roster)
		at    int
		want  int
	}{
		{"a moment later", func(*Roster) {}, 2000, 1},
		{"listed once more without it", func(r *Roster) { r.ReplaceEvacuated(nil) }, 2000, 1},
		{"not written again", func(*Roster) {}, 2200, 0},
		{"written again", func(r *Roster) { r.Evacuate("z") }, 9000, 1},
		{"taken back", func(r *Roster) { r.TakeBack("z") }, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Evacuate("z")
			r.Restore(at(10), Return{After: at(0)}, nil, nil)
			tt.after(r)
			r.Current(at(tt.at))
			is.Equal(len(r.Evacuated()), tt.want)
		})
	}
}
