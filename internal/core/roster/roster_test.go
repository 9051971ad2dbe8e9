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
		{"listed upstreams are returned", func(*Roster) {}, at(0), "ab"},
		{"a removed upstream is dropped at once", func(r *Roster) { r.Change(at(0), nil, []string{"a"}) }, at(0), "b"},
		{"an upstream that is not listed any more is dropped", func(r *Roster) { r.Replace(at(0), both[1:]) }, at(0), "b"},
		{"an entry that expired in an outage is retained", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
		}, at(2000), "ab"},
		{"an entry that was not created again is dropped", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
		}, at(2200), "b"},
		{"an entry that was created again stays", func(r *Roster) {
			r.Recovered(at(0))
			r.Replace(at(10), both[1:])
			r.Change(at(900), both[:1], nil)
		}, at(5000), "ab"},
		// Its entry expired because of its own crash, not of the outage, and indicates
		// nothing about the others.
		{"a new start under the same identity does not indicate expiry", func(r *Roster) {
			r.Replace(at(0), []balance.Instance{{ID: "a", Created: 1, Born: 1}, {ID: "b", Created: 2, Born: 1}, {ID: "c"}, {ID: "d"}, {ID: "e"}})
			r.Recovered(at(10))
			r.Change(at(20), []balance.Instance{{ID: "a", Created: 9, Born: 2}}, nil)
			r.Change(at(30), nil, []string{"b"})
		}, at(40), "acde"},
		// An upstream that left 1.6 s after the return of the store must not be used for two
		// more seconds.
		{"an upstream that leaves after the return is not retained longer", func(r *Roster) {
			r.Recovered(at(0))
			r.Change(at(1600), nil, []string{"a"})
		}, at(2200), "b"},
		{"an upstream that announced that it leaves is not retained", func(r *Roster) {
			r.Recovered(at(0))
			r.Change(at(10), []balance.Instance{{ID: "a", Leaving: true}}, nil)
			r.Change(at(20), nil, []string{"a"})
		}, at(20), "b"},
	}
	// If a gateway alone lost the store, for 12 s, an upstream that left in the meantime
	// must not be used for three more seconds.
	eight := make([]balance.Instance, 8)
	for i := range eight {
		eight[i] = balance.Instance{ID: string(rune('a' + i)), Created: int64(i + 1)}
	}
	isolated := func(t *testing.T, list []balance.Instance, want string) {
		t.Helper()
		is := is.New(t)
		r := New()
		r.Replace(at(0), eight)
		r.Recovered(at(10))
		r.Replace(at(20), list)
		is.Equal(ids(r.Current(at(1000))), want)
		end, kept := r.NextExpiry()
		is.Equal(kept, r.Expired() > 0)
		if kept {
			is.Equal(end, at(10).Add(recoveryWindow))
			r.Current(end)
			is.Equal(r.Expired(), 0)
		}
	}
	recreated := eight[1]
	recreated.Created = 40
	isolated(t, append(slices.Clone(eight[2:]), balance.Instance{ID: "x"}, balance.Instance{ID: "y"}), "cdefghxy") // replaced
	isolated(t, eight[1:], "bcdefgh")                                                                              // one has left
	isolated(t, eight[4:], "abcdefgh")                                                                             // half expired
	isolated(t, append([]balance.Instance{recreated}, eight[2:]...), "abcdefgh")                                   // one is created again already
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
