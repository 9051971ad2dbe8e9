package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// chat is a tight stream with a small private prompt.
func chat(i int) Request {
	own := Part{ID: uint64(50_000 + i), Tokens: 500}
	return Request{Pool: "p", Route: "chat", TargetGap: 250 * time.Millisecond, Target: 300 * time.Millisecond,
		Hash: uint64(i), Prompt: Prompt{Model: 1, Tokens: 500, OutputHint: 100, Parts: []Part{own}}}
}

// long is a stream with a long prompt on one of twenty subjects.
func long(i int) Request {
	return Request{Pool: "p", Route: "long", TargetGap: time.Second, Target: time.Second, Tier: 1,
		Hash: uint64(i), Prompt: prompt(uint64(i%20), uint64(i))}
}

// Long prompts avoid engines that run tight streams of any gateway, and tight streams
// avoid engines busy with prefill; if there is no other engine, both are served anyway.
func TestPromptsAvoidTightStreams(t *testing.T) {
	for _, n := range []int{1, 3, 6} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, n)
			loads := make(occupancy.Loads)
			tight := make(map[string]bool)
			for i, u := range table.pools["p"].members {
				loads[u.hash] = occupancy.Load{Requests: 20}
				if 2*i < n {
					loads[u.hash] = occupancy.Load{Requests: 20, Tight: 20}
					tight[u.ID] = true
				}
			}
			beside := 0
			for i := range 40 {
				now := at(20 * i)
				table.SetPeerLoads(now, peerLoadsOf(loads))
				c, ok := table.Pick(now, long(i))
				is.True(ok)
				table.ResponseStarted(at(20*i+15), c)
				table.Ended(at(20*i+16), c, Completed, Answer{Tokens: 50})
				if tight[c.ID] {
					beside++
				}
			}
			if n > 1 {
				is.True(2*beside*n < 40*len(tight)) // less than half of their share
			}
			reading, ok := table.Pick(at(2000), long(1))
			is.True(ok)
			c, ok := table.Pick(at(2001), chat(999))
			is.True(ok)
			is.True(n == 1 || c.ID != reading.ID)
		})
	}
}

// Streams are classified by the gap targets in the configuration, before the first
// request arrives.
func TestGapTargets(t *testing.T) {
	tests := []struct {
		name       string
		targets    []ingress.GapTarget
		tightLimit time.Duration
		tier       int
	}{
		{"no streams", nil, 0, 0},
		{"one target", []ingress.GapTarget{{Target: time.Second}}, 0, 0},
		{"alike", []ingress.GapTarget{{Target: time.Second}, {Target: 1200 * time.Millisecond}}, 0, 0},
		{"unlike", []ingress.GapTarget{{Target: time.Second, Tier: 3}, {Target: 1100 * time.Millisecond, Tier: 2}, {Target: 2 * time.Second, Tier: 1}}, 1300 * time.Millisecond, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p gapTargets
			p.set(tt.targets)
			is.Equal(p.tightLimit, tt.tightLimit)
			is.Equal(p.tier, tt.tier)
			is.True(!p.isTight(0))
		})
	}
}

// The length of answers is learned by route; a caller's hint takes precedence.
func TestOutputs(t *testing.T) {
	is := is.New(t)
	o := make(outputs)
	r := Request{Route: "r", Prompt: Prompt{MaxOutput: 200}}
	is.Equal(o.expected(r), 100.0)
	o.observe("r", 40)
	is.Equal(o.expected(r), 40.0)
	r.Prompt.OutputHint = 70
	is.Equal(o.expected(r), 70.0)
}

// Pools whose routes are alike, or whose engines share no parts, are handled.
func TestUnusualPools(t *testing.T) {
	is := is.New(t)
	table := tableWith(3)
	cfg, faults := ingress.New(1, []*ingress.Route{{Name: "r", Prefix: "/r/", Kind: ingress.Stream, Timeout: time.Second, MaxAttempts: 1, Shares: []ingress.Share{{Pool: "p", Weight: 1}}}},
		[]ingress.Pool{{Name: "p", Engine: &ingress.Engine{}}}, nil, ingress.Limits{})
	is.Equal(len(faults), 0)
	table.SetPools(cfg)
	used := make(map[string]bool)
	for i := range 30 {
		r := Request{Pool: "p", Route: "r", Hash: uint64(i), Prompt: Prompt{Model: 1, Tokens: 800}}
		c, ok := table.Pick(at(i), r)
		is.True(ok)
		used[c.ID] = true
	}
	is.Equal(len(used), 3)
}

// The further a request ranks below tight streams, the more it yields to them.
func TestYield(t *testing.T) {
	is := is.New(t)
	p := gapTargets{tightLimit: time.Second, tier: 1}
	is.Equal(p.yield(0), minYield)
	is.Equal(p.yield(1), minYield)
	is.Equal(p.yield(2), 1.0)
	is.Equal(p.yield(4), 3.0)
}
