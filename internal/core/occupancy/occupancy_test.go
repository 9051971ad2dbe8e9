package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// requests returns the loads of one upstream.
func requests(n int) Loads { return Loads{7: {Requests: n, Unread: 10 * n}} }

// Every gateway gets the load of all others, whether it is a relay or not, and no load is
// counted twice.
func TestSums(t *testing.T) {
	is := is.New(t)
	relay, member := New(), New()
	relay.SetOwn(requests(1))
	member.SetOwn(requests(2))
	relay.RecordMember(t0, "m", requests(2))
	relay.RecordMember(t0, "n", requests(4))
	relay.RecordZone(t0, "z", requests(8))
	relay.RecordZone(t0, "z", requests(16)) // the newer report
	is.Equal(relay.Zone(at(1))[7].Requests, 7)
	is.Equal(relay.For(at(1), "m")[7], Load{Requests: 21, Unread: 210})
	others, ok := relay.Others(at(1), true)
	is.True(ok)
	is.Equal(others[7].Requests, 22)
	_, ok = member.Others(at(1), false)
	is.True(!ok) // no report yet
	member.RecordOthers(at(1), relay.For(at(1), "m"))
	others, ok = member.Others(at(2), false)
	is.True(ok)
	is.Equal(others[7].Requests, 21)
}

// An expired report counts for nothing: a gateway that is cut off acts on what it
// observes itself, and the load of a dead gateway is dropped.
func TestExpiredReports(t *testing.T) {
	tests := []struct {
		name   string
		record func(b *Tracker)
	}{
		{"of a member", func(b *Tracker) { b.RecordMember(t0, "m", requests(3)) }},
		{"of a zone", func(b *Tracker) { b.RecordZone(t0, "z", requests(3)) }},
		{"of the relay", func(b *Tracker) { b.RecordOthers(t0, requests(3)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := New()
			tt.record(b)
			for _, relay := range []bool{true, false} {
				_, ok := b.Others(t0.Add(b.TTL()+time.Millisecond), relay)
				is.True(!ok)
			}
			is.Equal(len(b.For(t0.Add(b.TTL()+time.Millisecond), "")), 0)
		})
	}
}

// Gateways that reported once and never again are dropped, whatever their addresses.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	b := New()
	for i := range 500 {
		now := at(100 * i)
		b.RecordMember(now, fmt.Sprint("m", i), requests(1))
		b.RecordZone(now, fmt.Sprint("z", i), requests(1))
		b.For(now, "m")
	}
	is.True(len(b.members.by) <= 10)
	is.True(len(b.peers.by) <= 20)
}

// Every gateway gets each part once, and none gets back what it reported itself.
func TestPartLog(t *testing.T) {
	is := is.New(t)
	n := NewPartLog()
	n.Add("a", []Part{{Key: 1}})
	n.Add("b", []Part{{Key: 2}})
	n.Add("", []Part{{Key: 3}})
	is.Equal(n.For("a"), []Part{{Key: 2}, {Key: 3}})
	is.Equal(len(n.For("a")), 0)
	is.Equal(n.ForOtherZone("r"), []Part{{Key: 1}, {Key: 2}}) // not what another zone reported
	n.Add("b", []Part{{Key: 4}})
	is.Equal(n.For("a"), []Part{{Key: 4}})
	is.Equal(n.For("c"), []Part{{Key: 1}, {Key: 2}, {Key: 3}, {Key: 4}}) // a gateway that asks for the first time
}

// The oldest entries are discarded, and a long list is sent in several messages.
func TestPartLogIsBounded(t *testing.T) {
	is := is.New(t)
	n := NewPartLog()
	for i := range 2 * maxLogEntries {
		n.Add("a", []Part{{Key: uint64(i)}})
	}
	is.Equal(len(n.entries), maxLogEntries)
	got := 0
	for {
		parts := n.For("b")
		if len(parts) == 0 {
			break
		}
		is.True(len(parts) <= MaxPartsPerMessage)
		got += len(parts)
	}
	is.Equal(got, maxLogEntries)
}

// A relay receives a bounded number of reports per second, however large its zone is, and
// a report stays valid for several intervals.
func TestRelayLoadIsBounded(t *testing.T) {
	tests := []struct {
		members int
		every   time.Duration
	}{{0, BaseInterval}, {1, BaseInterval}, {16, BaseInterval}, {17, 2 * BaseInterval}, {115, 8 * BaseInterval}}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(MemberInterval(tt.members), tt.every)
		b := New()
		b.SetIntervals(IntervalsFor(tt.members, tt.members, false))
		is.True(b.TTL() >= 3*tt.every)
	}
}

// In a divided zone, gateways report as often as in a small zone, whatever the size of
// the zone; in an undivided one the interval grows with its size. Zones exchange reports
// often while the upstreams are busy.
func TestIntervals(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		zone, cell int
		busy       bool
		want       Intervals
		age        time.Duration
	}{
		{1, 1, false, Intervals{Members: 100 * ms, Zones: 100 * ms}, 100 * ms},
		{31, 31, false, Intervals{Members: 200 * ms, Zones: 200 * ms}, 200 * ms},
		{31, 31, true, Intervals{Members: 200 * ms, Zones: 200 * ms}, 200 * ms},
		{80, 27, false, Intervals{Members: 200 * ms, Cells: 100 * ms, Zones: 500 * ms}, 550 * ms},
		{80, 27, true, Intervals{Members: 200 * ms, Cells: 100 * ms, Zones: 100 * ms}, 350 * ms},
		{160, 32, true, Intervals{Members: 200 * ms, Cells: 100 * ms, Zones: 100 * ms}, 350 * ms},
	}
	for _, tt := range tests {
		is := is.New(t)
		p := IntervalsFor(tt.zone, tt.cell, tt.busy)
		is.Equal(p.Age(), tt.age)
		is.True(p.ttl() >= 3*p.zonesIdle)
		p.zonesIdle = 0
		is.Equal(p, tt.want)
	}
}

// The relay of a cell gets the load of everybody else and passes on the load of its cell;
// nothing is counted twice.
func TestCells(t *testing.T) {
	is := is.New(t)
	zone, cell := New(), New()
	zone.SetOwn(requests(1))
	zone.RecordMember(t0, "m", requests(2))
	zone.RecordZone(t0, "z", requests(4))
	cell.SetOwn(requests(8))
	cell.RecordMember(t0, "n", requests(16))
	zone.RecordCell(t0, "cell", cell.Zone(t0), 2)
	is.Equal(zone.Zone(t0)[7].Requests, 1+2+8+16)
	cell.RecordZone(t0, "beyond", zone.For(t0, "cell"))
	is.Equal(cell.For(t0, "n")[7].Requests, 1+2+4+8)
	others, ok := cell.Others(t0, true)
	is.True(ok)
	is.Equal(others[7].Requests, 1+2+4+16)
	is.Equal(zone.For(t0, "m")[7].Requests, 1+4+8+16)
	zone.RecordCell(t0, "cell", Loads{7: {Gone: 100}}, 2)
	is.Equal(zone.Zone(t0)[7].Gone, 2) // capped at the number of gateways
}

// A gateway has one vote on a dead upstream, whatever it reports.
func TestOneVotePerGateway(t *testing.T) {
	is := is.New(t)
	relay := New()
	relay.RecordMember(t0, "m", Loads{7: {Gone: 100}})
	is.Equal(relay.Zone(at(1))[7].Gone, 1)
	relay.RecordMember(t0, "n", Loads{7: {Gone: 1}})
	is.Equal(relay.Zone(at(1))[7].Gone, 2)
	relay.RecordMember(at(2), "n", Loads{})
	is.Equal(relay.Zone(at(3))[7].Gone, 1)
}

// The report of a gateway that is not a member of the zone counts as load only, without
// votes on the upstreams' health.
func TestLoadsWithoutVotes(t *testing.T) {
	is := is.New(t)
	l := Loads{7: {Requests: 3, Gone: 1, Closed: 1, Failing: 1, Served: 1}}
	is.Equal(l.WithoutVotes()[7], Load{Requests: 3})
	is.Equal(l[7].Failing, 1) // the original is unchanged
}

// Of two relays with the same interval, one calls and the other is called, whatever the
// offset between their timers. Each gets the other's report as often as if both called.
func TestOneCallPerRelayPair(t *testing.T) {
	const every = 100 * time.Millisecond
	for offset := range 10 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			is := is.New(t)
			a, b := New(), New()
			calls, oldest := 0, time.Duration(0)
			exchangedAt := t0
			for ms := range 3000 {
				now := at(ms)
				asks := func(book *Tracker, zone string) bool { return !book.RecentlyExchanged(now, zone, every) }
				if (ms%100 == 0 && asks(a, "b")) || (ms%100 == 10*offset && asks(b, "a")) {
					calls++
					a.RecordZone(now, "b", requests(1))
					b.RecordZone(now, "a", requests(1))
					oldest = max(oldest, now.Sub(exchangedAt))
					exchangedAt = now
				}
			}
			is.True(calls <= 40) // 60 if both called
			is.True(oldest <= every)
		})
	}
}
