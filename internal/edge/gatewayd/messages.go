package gatewayd

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// wholeMilliseconds rounds down: the time that a call was held may be understated,
// never overstated.
// What does not fit its field is as long as the field can say.
func wholeMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32-1))
}

// millisecondsSince returns what has passed since the moment, rounded up: an age may be
// overstated, never understated. It is nil for none.
func millisecondsSince(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	ms := wholeMilliseconds(now.Sub(at)) + 1
	return &ms
}

// encodeMember returns the message of a gateway.
func encodeMember(m fleet.Member) *gladegaugev1.GatewayMember {
	return &gladegaugev1.GatewayMember{Address: m.Address, Zone: m.Zone, Start: m.Start, Beat: m.Beat, Leaving: m.Leaving, Capacity: m.Capacity}
}

// decodeMember returns the gateway in a message.
func decodeMember(g *gladegaugev1.GatewayMember) fleet.Member {
	return fleet.Member{Address: g.GetAddress(), Zone: g.GetZone(), Start: g.GetStart(), Beat: g.GetBeat(), Leaving: g.GetLeaving(), Capacity: g.GetCapacity()}
}

// encodeEntry returns the message of an entry of the store.
func encodeEntry(now time.Time, e feed.Entry) *gladegaugev1.StoreEntry {
	return &gladegaugev1.StoreEntry{
		Key: e.Key, Value: e.Value, Created: e.Created, Removed: e.Removed, AgeMs: wholeMilliseconds(now.Sub(e.ReadAt)),
	}
}

// positionOf returns how far the gateway knew the store that gave the answer.
func positionOf(resp *gladegaugev1.FollowResponse) feed.Position {
	return feed.Position{Epoch: resp.GetEpoch(), Revision: resp.GetRevision()}
}

// entriesOf returns the entries of an answer that came now.
func entriesOf(now time.Time, resp *gladegaugev1.FollowResponse) []feed.Entry {
	list := make([]feed.Entry, len(resp.GetEntries()))
	for i, e := range resp.GetEntries() {
		list[i] = feed.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Created: e.GetCreated(), Removed: e.GetRemoved(),
			ReadAt: now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
		}
	}
	return list
}

// count32 returns a count as it is sent. What does not fit its field is as much as
// the field can say.
func count32(n int) uint32 { return uint32(min(max(0, n), math.MaxUint32)) }
