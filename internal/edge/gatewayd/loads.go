package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// tellTimeout bounds a word: a later answer would say little.
const tellTimeout = 250 * time.Millisecond

// beyondCell is the name under which the relay of a cell keeps what the relay of its zone
// told it. It is no zone's.
const beyondCell = "/beyond"

// tellLoop tells, again and again, what there is at the upstreams: the relay of an
// availability zone tells those of the others what its zone has, the relay of a cell
// tells that of its zone what its cell has, and everybody else tells a relay.
func (s *Server) tellLoop(ctx context.Context) error {
	pause := occupancy.BaseInterval
	for loop.Pause(ctx, pause) {
		var duty fleet.AggregationRole
		var pace occupancy.Intervals
		s.control.DoWithoutCancel(func(now time.Time) {
			duty = s.fleet.AggregationRole(now)
			pace = occupancy.IntervalsFor(s.fleet.ZoneSize(now), s.fleet.CellSize(now), s.table.Busy(now))
			s.occupancy.SetIntervals(pace)
		})
		switch {
		case duty.ReportTo == "":
			pause = pace.Zones
			s.tellRelays(ctx, pace.Zones)
		case duty.Aggregates:
			pause = pace.Cells
			s.tellZoneRelay(ctx, duty.ReportTo)
		default:
			pause = pace.Members
			s.tellRelay(ctx, duty.ReportTo)
		}
	}
	return nil
}

// tellZoneRelay tells the relay of the availability zone what the gateways of this cell
// have, and takes what all others have.
func (s *Server) tellZoneRelay(ctx context.Context, address string) {
	req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress()}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.takeOwn(now)
		s.kept.Add(s.PeersAddress(), s.table.TakeNewParts())
		req.Gateways = count32(s.fleet.CellSize(now))
		req.Loads = encodeLoads(s.occupancy.Zone(now))
		req.Parts = encodeParts(s.kept.ForOtherZone(address))
		req.Suspects = s.suspects.Tell(now, address, false)
	})
	resp, ok := s.tell(ctx, address, req)
	if !ok {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) { s.takeAnswer(now, address, beyondCell, resp) })
}

// tellRelay tells the relay what this gateway has, and takes what all others have.
func (s *Server) tellRelay(ctx context.Context, address string) {
	req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress()}
	s.control.DoWithoutCancel(func(now time.Time) {
		req.Loads = encodeLoads(s.table.Loads(now))
		req.Parts = encodeParts(s.table.TakeNewParts())
		req.Suspects = s.suspects.Tell(now, address, true)
	})
	resp, ok := s.tell(ctx, address, req)
	if !ok {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.occupancy.RecordOthers(now, decodeLoads(resp.GetLoads()))
		s.table.AddPeerParts(now, decodeParts(resp.GetParts()))
		s.suspects.Hear(now, address, resp.GetSuspects(), 0)
		s.takeOthers(now, false)
	})
}

// tellRelays tells the other relays what the gateways of this availability zone
// have, and takes what theirs have. Those that have just asked know it.
func (s *Server) tellRelays(ctx context.Context, every time.Duration) {
	var to []string
	s.control.DoWithoutCancel(func(now time.Time) {
		for _, r := range s.fleet.Relays(now) {
			if !s.occupancy.RecentlyExchanged(now, r.Zone, every) {
				to = append(to, r.Address)
			}
		}
		s.takeOwn(now)
		s.kept.Add(s.PeersAddress(), s.table.TakeNewParts())
		s.takeOthers(now, true)
	})
	for _, address := range to {
		req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress(), Zone: s.o.Settings.Zone}
		s.control.DoWithoutCancel(func(now time.Time) {
			req.Loads = encodeLoads(s.occupancy.Zone(now))
			req.Parts = encodeParts(s.kept.ForOtherZone(address))
			req.Suspects = s.suspects.Tell(now, address, false)
		})
		resp, ok := s.tell(ctx, address, req)
		if !ok {
			continue
		}
		s.control.DoWithoutCancel(func(now time.Time) { s.takeAnswer(now, address, resp.GetZone(), resp) })
	}
}

// takeAnswer takes what another relay answered, as the word of the availability zone. It
// runs in the control goroutine.
func (s *Server) takeAnswer(now time.Time, address, zone string, resp *gladegaugev1.TellLoadsResponse) {
	s.occupancy.RecordZone(now, zone, decodeLoads(resp.GetLoads()))
	s.takePartsOfZone(now, decodeParts(resp.GetParts()))
	s.suspects.Hear(now, address, resp.GetSuspects(), 0)
	s.takeOthers(now, true)
}

// takePartsOfZone takes the parts that another availability zone told of, and passes
// them on. It runs in the control goroutine.
func (s *Server) takePartsOfZone(now time.Time, parts []occupancy.Part) {
	s.table.AddPeerParts(now, parts)
	s.kept.Add("", parts)
}

// tell calls one gateway. It reports false if there was no answer.
func (s *Server) tell(ctx context.Context, address string, req *gladegaugev1.TellLoadsRequest) (*gladegaugev1.TellLoadsResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	resp, err := s.peer(address).TellLoads(ctx, connect.NewRequest(req))
	s.metrics.peerCall("tell_loads", err)
	if err != nil {
		s.control.DoWithoutCancel(func(now time.Time) { s.fleet.RelayFailed(now, address) })
		return nil, false
	}
	return resp.Msg, true
}

// takeOthers lets the choice of upstreams see what other gateways have. It runs in
// the control goroutine.
func (s *Server) takeOthers(now time.Time, relay bool) {
	if loads, ok := s.occupancy.Others(now, relay); ok {
		doubts := s.table.SetPeerLoads(now, balance.PeerLoads{
			Loads:    loads,
			Age:      s.occupancy.Age(),
			Keep:     s.occupancy.Keep(),
			Gateways: s.fleet.Size(now),
		})
		if doubts.LimitsReported {
			s.publishClosed(now)
		}
		for _, l := range doubts.Limited {
			s.log.Info().Str("upstream", l.ID).Bool("limited", l.Announced).Float64("per_second", l.PerSecond).
				Int("named_to", l.Votes.Limited).Int("free_to", l.Votes.Free).Dur("told_age", s.occupancy.Age()).
				Msg("limit of an upstream changes by the word of others")
		}
		for _, h := range doubts.Hanging {
			s.log.Info().Str("upstream", h.ID).Dur("waited", h.Waited).Msg("prompt hangs")
		}
		for _, o := range doubts.Outvoted {
			s.log.Info().Str("upstream", o.ID).Int("against", o.Failing).Int("for", o.Served).Dur("last_for", o.For).
				Dur("told_age", s.occupancy.Age()).Msg("upstream put last by votes")
		}
	}
}

// takeOwn lets the sums see what this gateway itself has. A relay is told of others' more
// often than that changes much. It runs in the control goroutine.
func (s *Server) takeOwn(now time.Time) {
	if now.Sub(s.ownAt) >= occupancy.BaseInterval {
		s.ownAt = now
		s.occupancy.SetOwn(s.table.Loads(now))
	}
}

// TellLoads takes the word of another gateway, and answers with what it does not
// know.
func (s *Server) TellLoads(_ context.Context, req *connect.Request[gladegaugev1.TellLoadsRequest]) (*connect.Response[gladegaugev1.TellLoadsResponse], error) {
	resp := &gladegaugev1.TellLoadsResponse{Zone: s.o.Settings.Zone}
	from := req.Msg.GetGateway()
	loads := decodeLoads(req.Msg.GetLoads())
	parts := decodeParts(req.Msg.GetParts())
	s.control.DoWithoutCancel(func(now time.Time) {
		s.takeOwn(now)
		if zone := req.Msg.GetZone(); zone != "" {
			s.occupancy.RecordZone(now, zone, loads)
			s.takePartsOfZone(now, parts)
			s.suspects.Hear(now, from, req.Msg.GetSuspects(), 0)
			resp.Suspects = s.suspects.Tell(now, from, false)
			resp.Loads = encodeLoads(s.occupancy.Zone(now))
			resp.Parts = encodeParts(s.kept.ForOtherZone(from))
			return
		}
		s.table.AddPeerParts(now, parts)
		if !s.fleet.IsNeighbour(now, from) {
			// A gateway that tells several relays would be as many witnesses: one that lied
			// put a sound replica last for 1, 2 and 4 s, one after the other.
			loads = loads.WithoutVotes()
		}
		witness := xxhash.Sum64String(from)
		if n := int(req.Msg.GetGateways()); n > 1 && s.fleet.IsCellRelay(now, from) {
			s.occupancy.RecordCell(now, from, loads, min(n, fleet.MaxCellSize))
			witness = 0
		} else {
			s.occupancy.RecordMember(now, from, loads)
		}
		s.kept.Add(from, parts)
		s.suspects.Hear(now, from, req.Msg.GetSuspects(), witness)
		resp.Suspects = s.suspects.Tell(now, from, false)
		resp.Loads = encodeLoads(s.occupancy.For(now, from))
		resp.Parts = encodeParts(s.kept.For(from))
	})
	return connect.NewResponse(resp), nil
}
