package stream

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
)

// What another gateway answers must not make a stream go on at a version that may not have begun
// it.
func TestKnownWith(t *testing.T) {
	v1, v2 := rollout.VersionOf("p", "v1"), rollout.VersionOf("p", "v2")
	several := rollout.State{Kind: rollout.Several}
	seen := rollout.State{Kind: rollout.Unproven, Version: v1}
	tests := []struct {
		name    string
		pool    rollout.State
		answers []Answer
		source  Source
		version rollout.Version
	}{
		{"no answer", seen, nil, Unknown, 0},
		{"nobody knows", seen, []Answer{{}, {}}, Unknown, 0},
		{"one knows", several, []Answer{{}, {Version: v2}}, Found, v2},
		{"one knows, another confirms", seen, []Answer{{Single: true, SingleVersion: v1, SingleFor: proofWindow}, {Version: v2}}, Found, v2},
		{"one confirms after one knows", seen, []Answer{{Version: v2}, {Single: true, SingleVersion: v1, SingleFor: proofWindow}}, Found, v2},
		{"one confirms", seen, []Answer{{}, {Single: true, SingleVersion: v1, SingleFor: proofWindow}}, FoundSingle, v1},
		{"one confirms a shorter time", seen, []Answer{{Single: true, SingleVersion: v1, SingleFor: proofWindow - 1}}, Unknown, 0},
		{"one confirms no time", seen, []Answer{{Single: true, SingleVersion: v1}}, Unknown, 0},
		{"one confirms another version", seen, []Answer{{Single: true, SingleVersion: v2, SingleFor: proofWindow}}, Unknown, 0},
		{"one confirms, but several were seen", several, []Answer{{Single: true, SingleVersion: v1, SingleFor: proofWindow}}, Unknown, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := Known{Source: Unknown, Pool: tt.pool, Window: proofWindow}
			for _, a := range tt.answers {
				k = k.With(a)
			}
			is.Equal(k.Source, tt.source)
			is.Equal(k.Version, tt.version)
		})
	}
}

// A list that is too old proves nothing, nor does one that was too old for a while: other
// versions may have come and gone.
func TestOldList(t *testing.T) {
	v1 := rollout.VersionOf("p", "v1")
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// listed are the times at which the list was complete.
		listed []time.Duration
		at     time.Duration
		want   rollout.Kind
	}{
		{"never listed", nil, 1, rollout.Unproven},
		{"fresh", []time.Duration{0, time.Second}, time.Second + MaxListAge, rollout.Single},
		{"too old", []time.Duration{0, time.Second}, time.Second + MaxListAge + 1, rollout.Unproven},
		{"fresh again after a gap", []time.Duration{0, MaxListAge + 1}, MaxListAge + 2, rollout.Unproven},
		{"some time after a gap", calm(0, 2*MaxListAge, time.Minute), time.Minute, rollout.Unproven},
		{"long after a gap", calm(0, 2*MaxListAge, 2*MaxListAge+proofWindow), 2*MaxListAge + proofWindow, rollout.Single},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewTracker(true)
			b.Observe(start, []rollout.Serving{{Pool: "p", Version: v1}})
			for _, at := range tt.listed {
				b.ListedAt(start.Add(at))
			}
			now := start.Add(tt.at)
			is.Equal(b.Pool(now, "p").Kind, tt.want)
			is.Equal(b.Begin(now, "p", AttemptOf("x"), v1, 0), tt.want != rollout.Single) // reported unless proven
			is.Equal(b.Find(now, "p", AttemptOf("y")).Source == Single, tt.want == rollout.Single)
			is.Equal(b.Answer(now, "p", AttemptOf("y")).Single, tt.want == rollout.Single)
			is.Equal(b.Find(now, "p", AttemptOf("x")).Source, Own)
		})
	}
}

// A version that has just begun to serve is recognised, also by a gateway that has just started.
func TestUnsettled(t *testing.T) {
	v1, v2, v3 := rollout.VersionOf("p", "v1"), rollout.VersionOf("p", "v2"), rollout.VersionOf("p", "v3")
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// later is what serves an hour after the first observation; nil if nothing changes.
		first, later []rollout.Version
		at           time.Duration
		want         []rollout.Version
	}{
		{"one version, just started", []rollout.Version{v1}, nil, 1, nil},
		{"two versions, just started", []rollout.Version{v1, v2, v1}, nil, 1, []rollout.Version{v2}},
		{"two versions, some time after the start", []rollout.Version{v1, v2, v1}, nil, MaxListAge, nil},
		{"no version stated by most, just started", []rollout.Version{v1, rollout.Unstated, rollout.Unstated}, nil, 1, []rollout.Version{rollout.Unstated}},
		{"a rollout begins", []rollout.Version{v1, v1}, []rollout.Version{v1, v1, v2}, time.Hour + MaxListAge - 1, []rollout.Version{v2}},
		{"a rollout has begun", []rollout.Version{v1, v1}, []rollout.Version{v1, v1, v2}, time.Hour + MaxListAge, nil},
		{"another rollout begins", []rollout.Version{v1, v2}, []rollout.Version{v1, v2, v3}, time.Hour + 1, []rollout.Version{v3}},
		{"all were replaced at once", []rollout.Version{v1, v1}, []rollout.Version{v2, v2}, time.Hour + 1, nil},
		{"none are left", []rollout.Version{v1}, []rollout.Version{}, time.Hour + 1, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker(false)
			observe := func(at time.Duration, versions []rollout.Version) {
				var list []rollout.Serving
				for _, v := range versions {
					list = append(list, rollout.Serving{Pool: "p", Version: v})
				}
				tracker.Observe(start.Add(at), list)
			}
			observe(0, tt.first)
			if tt.later != nil {
				observe(time.Hour, tt.later)
			}
			is.New(t).True(slices.Equal(tracker.Unsettled(start.Add(tt.at), "p"), tt.want))
		})
	}
}

// A gateway that has just started learns from another one which versions are settled.
func TestSettle(t *testing.T) {
	is := is.New(t)
	v1, v2 := rollout.VersionOf("p", "v1"), rollout.VersionOf("p", "v2")
	start := time.Unix(1000, 0)
	later := start.Add(time.Hour)
	list := []rollout.Serving{{Pool: "p", Version: v1}, {Pool: "p", Version: v2}, {Pool: "p", Version: v2}}
	before, started := NewTracker(true), NewTracker(false)
	before.Observe(start, list[:1])
	before.Observe(later, list)
	started.Observe(later, list)
	is.True(before.KnowsSettled(later, "p"))
	is.True(!started.KnowsSettled(later, "p"))
	is.Equal(started.Unsettled(later, "p"), []rollout.Version{v1}) // v2 has more upstreams
	started.Settle("p", before.Answer(later, "p", AttemptOf("")))
	is.True(started.KnowsSettled(later, "p"))
	is.Equal(started.Unsettled(later, "p"), []rollout.Version{v2})
	is.Equal(len(started.Unsettled(later.Add(MaxListAge), "p")), 0)
}

// calm returns the times of lists at the start and, after a gap, every second until the end.
func calm(start, from, end time.Duration) []time.Duration {
	times := []time.Duration{start}
	for at := from; at <= end; at += time.Second {
		times = append(times, at)
	}
	return times
}

// A gateway that was confirmed a single version by one that has watched for a shorter time took
// that for a proof of its own, longer one.
func TestConfirmedForShorterTime(t *testing.T) {
	v1 := rollout.VersionOf("p", "v1")
	start := time.Unix(1000, 0)
	tests := []struct {
		name      string
		confirmed time.Duration
		after     time.Duration
		want      rollout.Kind
	}{
		{"long enough", proofWindow, 1, rollout.Single},
		{"a shorter time", time.Minute, 1, rollout.Unproven},
		{"a shorter time, and what was seen since", time.Minute, proofWindow - time.Minute, rollout.Single},
		{"no time", 0, time.Minute, rollout.Unproven},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewTracker(false)
			b.Observe(start, []rollout.Serving{{Pool: "p", Version: v1}})
			b.ListedAt(start)
			b.Confirm(start, "p", Answer{Single: true, SingleVersion: v1, SingleFor: tt.confirmed})
			for at := time.Duration(0); at <= tt.after; at += time.Second {
				b.ListedAt(start.Add(at))
			}
			is.New(t).Equal(b.Pool(start.Add(tt.after), "p").Kind, tt.want)
		})
	}
}
