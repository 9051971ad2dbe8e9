package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// Local knowledge of upstreams takes precedence over a restored copy of the store, until
// they are written again.
func TestRestore(t *testing.T) {
	const ttl = 4800
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	listed := func(ids string) []balance.Instance {
		var list []balance.Instance
		for _, id := range ids {
			list = append(list, balance.Instance{ID: string(id), Born: 5})
		}
		return list
	}
	// restore restores at 0 from a copy; the store was last known to be unavailable at
	// -100 ms.
	restore := func(r *Roster, list []balance.Instance) {
		r.Restore(at(0), StoreRestore{After: at(-100), EntryTTL: ttl * time.Millisecond}, list, nil)
	}
	tests := []struct {
		name string
		do   func(r *Roster)
		at   int
		want string
		// leaving holds the upstreams that are leaving.
		leaving string
	}{
		{"an upstream in the copy is listed", func(r *Roster) { restore(r, listed("ab")) }, 0, "ab", ""},
		{"an upstream that the copy lacks is retained", func(r *Roster) { restore(r, listed("a")) }, 2000, "ab", ""},
		{"and removed if it is not written again", func(r *Roster) { restore(r, listed("a")) }, 2100, "a", ""},
		{"and stays if it is written again", func(r *Roster) {
			restore(r, listed("a"))
			r.Change(at(900), listed("b"), nil)
		}, 9000, "ab", ""},
		{"a leaving upstream is still leaving", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("ab"))
		}, 9000, "ab", "a"},
		{"until it is written as not leaving", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("ab"))
			r.Change(at(900), listed("a"), nil)
		}, 9000, "ab", ""},
		{"a later start of it is not leaving", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, []balance.Instance{{ID: "a", Born: 6}, {ID: "b", Born: 5}})
		}, 0, "ab", ""},
		{"a leaving upstream that the copy lacks is removed", func(r *Roster) {
			r.Change(at(-900), []balance.Instance{{ID: "a", Born: 5, Leaving: true}}, nil)
			restore(r, listed("b"))
		}, 0, "b", ""},
		{"a removed upstream stays removed", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
		}, ttl - 1, "b", ""},
		{"also if the list is read again", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Replace(at(10), listed("ab"))
		}, ttl - 1, "b", ""},
		{"until its entry has outlived the time to live", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
		}, ttl, "ab", ""},
		{"or until it is written again", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Change(at(900), listed("a"), nil)
		}, 900, "ab", ""},
		{"an entry that is removed again is not listed", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, listed("ab"))
			r.Change(at(900), nil, []string{"a"})
		}, 9000, "b", ""},
		{"a later start of a removed upstream is listed", func(r *Roster) {
			r.Change(at(-900), nil, []string{"a"})
			restore(r, []balance.Instance{{ID: "a", Born: 6}, {ID: "b", Born: 5}})
		}, 0, "ab", ""},
		{"an old removal has expired", func(r *Roster) {
			r.Change(at(-61_000), nil, []string{"a"})
			r.Change(at(-900), listed("b"), nil)
			restore(r, listed("ab"))
		}, 0, "ab", ""},
		{"an earlier start in the copy is ignored", func(r *Roster) {
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

// The list changes without a message from the store when something that was retained in a
// restore expires.
func TestExpiryAfterRestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []balance.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	r.Change(now, nil, []string{"c"})
	r.Evacuate("z")
	r.Restore(now, StoreRestore{After: now.Add(-time.Second), EntryTTL: 5 * time.Second}, []balance.Instance{{ID: "a"}, {ID: "c"}}, nil)
	is.Equal(ids(r.Current(now)), "ab")
	is.Equal(r.Expired(), 1)
	is.Equal(r.Unconfirmed(), 1)
	for _, want := range []struct {
		after     time.Duration
		list      string
		evacuated int
	}{{1200 * time.Millisecond, "a", 0}, {5 * time.Second, "ac", 0}} {
		end, ok := r.NextExpiry()
		is.True(ok)
		is.Equal(end.Sub(now), want.after)
		is.Equal(ids(r.Current(end)), want.list)
		is.Equal(len(r.Evacuated()), want.evacuated)
	}
	_, ok := r.NextExpiry()
	is.True(!ok)
}

// An evacuation that a restored copy of the store lacks stays in force for a short time,
// or for good as soon as it is written again.
func TestEvacuationInARestore(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		after func(r *Roster)
		at    int
		want  int
	}{
		{"shortly after the restore", func(*Roster) {}, 2000, 1},
		{"listed again without it", func(r *Roster) { r.ReplaceEvacuated(nil) }, 2000, 1},
		{"not written again", func(*Roster) {}, 2200, 0},
		{"written again", func(r *Roster) { r.Evacuate("z") }, 9000, 1},
		{"evacuation ended", func(r *Roster) { r.EndEvacuation("z") }, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Evacuate("z")
			r.Restore(at(10), StoreRestore{After: at(0)}, nil, nil)
			tt.after(r)
			r.Current(at(tt.at))
			is.Equal(len(r.Evacuated()), tt.want)
		})
	}
}
