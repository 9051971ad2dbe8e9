package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Whoever asks all recorders also asks those that a stream was reported to. No recorder gets
// the reports of many more gateways than another, and asking takes a bounded number of calls.
func TestRecorders(t *testing.T) {
	const copies = 2
	for _, n := range []int{1, 2, 4, 12, 30, 300, 800} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			list := newFleets(n, 3)
			var members []Member
			for _, f := range list {
				members = append(members, f.self)
			}
			for _, f := range list {
				f.Merge(t0, members)
			}
			asked := list[0].AllRecorders(t0)
			is.True(len(asked) <= max(minRecorders, n/recorderPart))
			reports := make(map[string]int)
			for _, f := range list {
				recorders := f.Recorders(t0, copies)
				is.Equal(len(recorders), min(copies, n-1))
				for _, address := range recorders {
					reports[address]++
					is.True(address != f.self.Address)
					is.True(address == list[0].self.Address || slices.Contains(asked, address))
				}
			}
			for _, reporters := range reports {
				is.True(reporters <= 4*copies*recorderPart)
			}
		})
	}
}

// A recorder that does not answer is replaced, but still asked, as it may know streams that were
// reported before. The same holds for one that is leaving.
func TestRecordersThatFail(t *testing.T) {
	is := is.New(t)
	list := newFleets(40, 3)
	f := list[0]
	for _, other := range list[1:] {
		f.Merge(t0, []Member{other.self})
	}
	before := f.AllRecorders(t0)
	first := f.Recorders(t0, 1)[0]
	f.RecorderFailed(t0, first)
	is.True(f.Recorders(t0, 1)[0] != first)
	is.Equal(f.AllRecorders(t0), before)
	is.Equal(len(f.reachable(t0, "")), 39) // other calls are not affected
	second := f.Recorders(t0, 1)[0]
	leaving := f.peers[second].Member
	leaving.Leaving = true
	leaving.Beat++
	f.Merge(t0, []Member{leaving})
	is.True(!slices.Contains(f.Recorders(t0, 40), second))
	is.True(slices.Contains(f.AllRecorders(t0), second))
}
