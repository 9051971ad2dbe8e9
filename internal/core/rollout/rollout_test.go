package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const window = 10 * time.Second

// A gateway that takes a pool for one of a single version resumes its streams anywhere. It may
// do so only if no other version has served for as long as a caller may resume a stream.
func TestState(t *testing.T) {
	v1, v2 := VersionOf("p", "v1"), VersionOf("p", "v2")
	type step struct {
		at       time.Duration
		versions []Version
	}
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  State
	}{
		{"never observed", nil, time.Hour, State{Kind: Unproven}},
		{"just started", []step{{0, []Version{v1}}}, window - 1, State{Unproven, v1}},
		{"one version for the window", []step{{0, []Version{v1}}}, window, State{Single, v1}},
		{"a rollout begins", []step{{0, []Version{v1}}, {time.Hour, []Version{v1, v2}}}, time.Hour, State{Kind: Several}},
		{"a rollout takes long", []step{{0, []Version{v1, v2}}}, time.Hour, State{Kind: Several}},
		{"a rollout ended lately", []step{{0, []Version{v1, v2}}, {time.Hour, []Version{v2}}}, time.Hour + window - 1, State{Kind: Several}},
		{"a rollout ended long ago", []step{{0, []Version{v1, v2}}, {time.Hour, []Version{v2}}}, time.Hour + window, State{Single, v2}},
		{"a rollout went back", []step{{0, []Version{v1}}, {time.Hour, []Version{v1, v2}}, {time.Hour + 1, []Version{v1}}}, time.Hour + 2, State{Kind: Several}},
		{"all upstreams were replaced at once", []step{{0, []Version{v1}}, {time.Hour, []Version{v2}}}, time.Hour + 1, State{Kind: Several}},
		{"no version stated", []step{{0, []Version{Unstated}}}, 1, State{Single, Unstated}},
		{"no version stated by some", []step{{0, []Version{Unstated, v1}}}, window, State{Kind: Several}},
		{"no upstream is left", []step{{0, []Version{v1}}, {time.Hour, nil}}, time.Hour + window, State{Kind: Unproven}},
		{"gone for a while", []step{{0, []Version{v1}}, {time.Hour, nil}, {time.Hour + 1, []Version{v1}}}, time.Hour + 2, State{Single, v1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			tracker := NewTracker(false)
			for _, s := range tt.steps {
				list := []Serving{{Pool: "other", Version: VersionOf("other", "v9")}}
				for _, v := range s.versions {
					list = append(list, Serving{Pool: "p", Version: v})
				}
				tracker.Observe(start.Add(s.at), list)
			}
			is.Equal(tracker.State(start.Add(tt.at), "p", window), tt.want)
			tracker.Sweep(start.Add(tt.at), window)
			is.Equal(tracker.State(start.Add(tt.at), "p", window), tt.want)
		})
	}
}

// What was missed, and what another gateway has seen meanwhile, decides whether a single
// version is proven.
func TestProof(t *testing.T) {
	v1, v2 := VersionOf("p", "v1"), VersionOf("p", "v2")
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		first bool
		do    func(t *Tracker)
		at    time.Duration
		want  State
	}{
		{"first start of all", true, func(*Tracker) {}, 1, State{Single, v1}},
		{"confirmed", false, func(t *Tracker) { t.Confirm(start.Add(1), "p", v1, window) }, 2, State{Single, v1}},
		{"confirmed another version", false, func(t *Tracker) { t.Confirm(start.Add(1), "p", v2, window) }, 2, State{Unproven, v1}},
		{"another pool confirmed", false, func(t *Tracker) { t.Confirm(start.Add(1), "q", v1, window) }, 2, State{Unproven, v1}},
		{"interrupted", true, func(t *Tracker) { t.Interrupt(start.Add(time.Hour)) }, time.Hour + window - 1, State{Unproven, v1}},
		{"interrupted long ago", true, func(t *Tracker) { t.Interrupt(start.Add(time.Hour)) }, time.Hour + window, State{Single, v1}},
		{
			"interrupted after it was confirmed", false,
			func(t *Tracker) {
				t.Confirm(start.Add(1), "p", v1, window)
				t.Interrupt(start.Add(2))
			}, 3, State{Unproven, v1},
		},
		{
			"confirmed, then a rollout", false,
			func(t *Tracker) {
				t.Confirm(start.Add(1), "p", v1, window)
				t.Observe(start.Add(2), []Serving{{"p", v1}, {"p", v2}})
			}, 3, State{Kind: Several},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker(tt.first)
			tracker.Observe(start, []Serving{{"p", v1}})
			tt.do(tracker)
			is.New(t).Equal(tracker.State(start.Add(tt.at), "p", window), tt.want)
		})
	}
}

// Versions of two pools are different even if their names are equal.
func TestVersionOf(t *testing.T) {
	is := is.New(t)
	is.Equal(VersionOf("p", "v1"), VersionOf("p", "v1"))
	is.True(VersionOf("p", "v1") != VersionOf("q", "v1"))
	is.True(VersionOf("p", "v1") != VersionOf("p", "v2"))
	is.Equal(VersionOf("p", ""), Unstated)
}
