package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// fetchPrompt has a shared part and a private part of the given sizes.
func fetchPrompt(shared, own int) Prompt {
	return Prompt{Model: 1, Tokens: shared + 3000, Parts: []Part{{ID: 1, Tokens: shared}, {ID: uint64(100 + own), Tokens: 3000}}}
}

// A prompt that is sent to another engine because its home is busy is copied from the
// home, if the engines support copies and the link is faster than prefill.
func TestFetchFromHome(t *testing.T) {
	tests := []struct {
		name   string
		engine ingress.Engine
		shared int
		want   bool
	}{
		{"fast link", ingress.Engine{Moves: true, LinkMbps: 100_000, TokenBytes: 10_000}, 4000, true},
		{"no copies", ingress.Engine{LinkMbps: 100_000, TokenBytes: 10_000}, 4000, false},
		{"unknown link", ingress.Engine{Moves: true, TokenBytes: 10_000}, 4000, false},
		{"slow link", ingress.Engine{Moves: true, LinkMbps: 100, TokenBytes: 10_000}, 4000, false},
		{"small part", ingress.Engine{Moves: true, LinkMbps: 100_000, TokenBytes: 10_000}, 50, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, 4)
			table.pools["p"].engine = &tt.engine
			p := fetchPrompt(tt.shared, 0)
			home, _ := table.Pick(t0, Request{Pool: "p", Route: "long", Prompt: p})
			is.Equal(home.FetchFrom, "") // the home has it cached
			seen := make(map[string]bool)
			for i := range 12 {
				c, _ := table.Pick(t0, Request{Pool: "p", Route: "long", Prompt: fetchPrompt(tt.shared, 1+i), Hash: uint64(i)})
				if c.ID == home.ID {
					is.Equal(c.FetchFrom, "")
					continue
				}
				// A source is named even if the missing part is on its way, as the engine
				// copies only what it lacks.
				is.Equal(c.FetchFrom == home.Address, tt.want)
				if !seen[c.ID] {
					is.Equal(c.Unread < p.Tokens, tt.want)
				}
				seen[c.ID] = true
			}
			is.True(len(seen) > 0)
		})
	}
}

// The home of a subject copies the part common to all subjects from that part's home; an
// engine that is known to have more cached is preferred.
func TestFetchFromBestSource(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 6)
	table.pools["p"].engine = &ingress.Engine{Moves: true, LinkMbps: 100_000, TokenBytes: 10_000}
	common := table.pools["p"].members
	keys := prompt(1, 1).chain()
	first := homeOfKey(common, keys[0])
	hinted := 0
	for subject := range uint64(20) {
		fresh := enginesWith(t, 6)
		fresh.pools["p"].engine = table.pools["p"].engine
		c, _ := fresh.Pick(t0, Request{Pool: "p", Route: "r", Prompt: prompt(subject, 1)})
		if c.FetchFrom == first.Address {
			hinted++
		}
		is.True(c.FetchFrom != c.Address)
		fresh.ResponseStarted(at(50), c)
		fresh.Ended(at(60), c, Completed, Answer{Tokens: 10})
		again, _ := fresh.Pick(at(80), Request{Pool: "p", Route: "r", Prompt: prompt(subject, 2)})
		is.Equal(again.ID, c.ID)
		is.True(again.FetchFrom != again.Address) // a source is named in case the part was evicted
	}
	is.True(hinted > 10)
}
