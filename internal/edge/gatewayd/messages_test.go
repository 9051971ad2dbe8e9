package gatewayd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// An entry that passes through other gateways keeps its age, so that a report of a cold
// upstream has expired for a gateway that receives it late.
func TestEntriesKeepTheirAge(t *testing.T) {
	is := is.New(t)
	read := time.Unix(1000, 0)
	e := feed.Entry{Key: "k", Value: []byte("v"), Created: 7, ReadAt: read}
	for range 3 {
		e = entriesOf(read.Add(5*time.Second), &gladegaugev1.FollowResponse{
			Entries: []*gladegaugev1.StoreEntry{encodeEntry(read.Add(5*time.Second), e)},
		})[0]
	}
	is.True(e.ReadAt.Equal(read))
	is.Equal(e.Created, int64(7))
}
