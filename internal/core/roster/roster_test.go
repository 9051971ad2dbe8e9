package roster

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

func ids(list []balance.Instance) string {
	text := ""
	for _, in := range list {
		text += in.ID
	}
	return text
}

func TestRoster(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	both := []balance.Instance{{ID: "a"}, {ID: "b"}}
	tests := []struct {
		name string
		do   func(r *Roster)
		at   time.Time
		want string
	}{
		{"what is listed is there", func(*Roster) {}, at(0), "ab"},
		{"what is removed is gone at once", func(r *Roster) { r.Change(at(0), nil, []string{"a"}) }, at(0), "b"},
		{"what is not listed any more is gone", func(r *Roster) { r.Replace(at(0), both[1:]) }, at(0), "b"},
		{"what lapsed in an outage is kept", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
		}, at(2000), "ab"},
		{"what did not come back is gone", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
		}, at(2200), "b"},
		{"what came back stays", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
			r.Change(at(900), both[:1], nil)
		}, at(5000), "ab"},
		// Its entry lapsed when it crashed, whatever the outage did, and says nothing of
		// the others.
		{"a new start under its identity shows no lapse", func(r *Roster) {
			r.Replace(at(0), []balance.Instance{{ID: "a", Created: 1, Born: 1}, {ID: "b", Created: 2, Born: 1}, {ID: "c"}, {ID: "d"}, {ID: "e"}})
			r.Recovered(at(10))
			r.Change(at(20), []balance.Instance{{ID: "a", Created: 9, Born: 2}}, nil)
			r.Change(at(30), nil, []string{"b"})
		}, at(40), "acde"},
		// Found by a hunt: a replica that left 1.6 s after the store was back
		// was used for two seconds more.
		{"what leaves after the return is not kept longer for it", func(r *Roster) {
			r.Recovered(at(0))
			r.Change(at(1600), nil, []string{"a"})
		}, at(2200), "b"},
		{"what said that it leaves is not kept", func(r *Roster) {
			r.Recovered(at(0))
			r.Change(at(10), []balance.Instance{{ID: "a", Leaving: true}}, nil)
			r.Change(at(20), nil, []string{"a"})
		}, at(20), "b"},
	}
	// Found by a hunt: a gateway that was cut off for 12 s used a replica that
	// had left in the meantime for three seconds more.
	eight := make([]balance.Instance, 8)
	for i := range eight {
		eight[i] = balance.Instance{ID: string(rune('a' + i)), Created: int64(i + 1)}
	}
	cut := func(t *testing.T, list []balance.Instance, want string) {
		t.Helper()
		is := is.New(t)
		r := New()
		r.Replace(at(0), eight)
		r.Recovered(at(10))
		r.Replace(at(20), list)
		is.Equal(ids(r.Current(at(1000))), want)
		end, kept := r.NextEnd()
		is.Equal(kept, r.Lapsed() > 0)
		if kept {
			is.Equal(end, at(10).Add(recovering))
			r.Current(end)
			is.Equal(r.Lapsed(), 0)
		}
	}
	back := eight[1]
	back.Created = 40
	cut(t, append(slices.Clone(eight[2:]), balance.Instance{ID: "x"}, balance.Instance{ID: "y"}), "cdefghxy") // replaced
	cut(t, eight[1:], "bcdefgh")                                                                              // one has left
	cut(t, eight[4:], "abcdefgh")                                                                             // half lapsed
	cut(t, append([]balance.Instance{back}, eight[2:]...), "abcdefgh")                                        // one is back already
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Replace(at(0), both)
			tt.do(r)
			is.Equal(ids(r.Current(tt.at)), tt.want)
		})
	}
}
