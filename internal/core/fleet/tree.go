package fleet

import (
	"slices"
	"time"
)

// Parent returns the gateway that this one follows; false if it is the first of
// its availability zone, and reads the store itself.
func (f *Fleet) Parent(now time.Time) (string, bool) {
	zone := append(f.askable(now, f.self.Zone), f.self.Address)
	ranked := f.ranked("follow/"+f.self.Zone, zone)
	at := slices.Index(ranked, f.self.Address)
	if at == 0 {
		return "", false
	}
	return ranked[(at-1)/FanOut], true
}
