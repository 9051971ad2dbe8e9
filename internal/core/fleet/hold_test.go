package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Holder returns an alive gateway for which Holds is true, whichever gateway computes it.
func TestHolder(t *testing.T) {
	is := is.New(t)
	const n, holders = 20, 3
	now := time.Unix(1000, 0)
	var list []*Fleet
	var members []Member
	for i := range n {
		f := New(Member{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", Start: 1})
		list = append(list, f)
		members = append(members, f.self)
	}
	for _, f := range list {
		f.Merge(now, members)
	}
	for key := range uint64(50) {
		holds := make(map[string]bool)
		for _, f := range list {
			if f.Holds(now, key, holders) {
				holds[f.self.Address] = true
			}
		}
		is.Equal(len(holds), holders)
		for random := range uint64(6) {
			address, ok := list[int(key)%n].Holder(now, key, holders, random)
			is.True(ok && holds[address] && address != list[int(key)%n].self.Address)
		}
	}
	later := now.Add(time.Minute)
	_, ok := list[0].Holder(later, 1, holders, 0)
	is.True(!ok) // no gateway has a recent heartbeat
	_, ok = New(Member{Address: "alone"}).Holder(now, 1, holders, 0)
	is.True(!ok)
}
