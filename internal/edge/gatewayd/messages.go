package gatewayd

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// wholeMilliseconds rounds down, because the time that a call was held may be understated
// but never overstated. A duration that does not fit the field becomes the largest value.
func wholeMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32-1))
}

// millisecondsSince returns the time since the given moment, rounded up, because an age
// may be overstated but never understated. It is nil for the zero time.
func millisecondsSince(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	ms := wholeMilliseconds(now.Sub(at)) + 1
	return &ms
}

// encodeMember converts a member to its message.
func encodeMember(m fleet.Member) *gladegaugev1.GatewayMember {
	return &gladegaugev1.GatewayMember{Address: m.Address, Zone: m.Zone, Start: m.Start, Beat: m.Beat, Leaving: m.Leaving, Capacity: m.Capacity}
}

// decodeMember returns the member in a message.
func decodeMember(g *gladegaugev1.GatewayMember) fleet.Member {
	return fleet.Member{Address: g.GetAddress(), Zone: g.GetZone(), Start: g.GetStart(), Beat: g.GetBeat(), Leaving: g.GetLeaving(), Capacity: g.GetCapacity()}
}

// encodeEntry converts an entry of the store to its message.
func encodeEntry(now time.Time, e feed.Entry) *gladegaugev1.StoreEntry {
	return &gladegaugev1.StoreEntry{
		Key: e.Key, Value: e.Value, Created: e.Created, Removed: e.Removed, AgeMs: wholeMilliseconds(now.Sub(e.ReadAt)),
	}
}

// positionOf returns the position in the store up to which the answering gateway knew it.
func positionOf(resp *gladegaugev1.FollowResponse) feed.Position {
	return feed.Position{Epoch: resp.GetEpoch(), Revision: resp.GetRevision()}
}

// entriesOf returns the entries of an answer that was received now.
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

// clampUint32 converts a count to its wire type. A count that does not fit becomes the
// largest value.
func clampUint32(n int) uint32 { return uint32(min(max(0, n), math.MaxUint32)) }
