package gatewayd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/demand"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// reportTimeout bounds a load report. A later answer would be out of date.
const reportTimeout = 250 * time.Millisecond

// outsideCell is the name under which the relay of a cell records what it gets from the
// relay of its zone. No zone has this name.
const outsideCell = "/beyond"

// reportLoop reports the load at the upstreams at intervals. The relay of an availability
// zone exchanges the sum of its zone with the relays of other zones, the relay of a cell
// reports the sum of its cell to the relay of its zone, and all other gateways report to a
// relay.
func (s *Server) reportLoop(ctx context.Context) error {
	pause := occupancy.BaseInterval
	for loop.Sleep(ctx, pause) {
		var role fleet.AggregationRole
		var intervals occupancy.Intervals
		s.control.DoWithoutCancel(func(now time.Time) {
			role = s.fleet.AggregationRole(now)
			intervals = occupancy.IntervalsFor(s.fleet.ZoneSize(now), s.fleet.CellSize(now), s.table.Busy(now))
			s.occupancy.SetIntervals(intervals)
			s.updateDemand(now, role)
		})
		switch {
		case role.ReportTo == "":
			pause = intervals.Zones
			s.exchangeWithRelays(ctx, intervals.Zones)
		case role.Aggregates:
			pause = intervals.Cells
			s.reportToZoneRelay(ctx, role.ReportTo)
		default:
			pause = intervals.Members
			s.reportToRelay(ctx, role.ReportTo)
		}
	}
	return nil
}

// reportToZoneRelay reports the load of this cell to the relay of the availability zone,
// and applies the load of all others from its answer.
func (s *Server) reportToZoneRelay(ctx context.Context, address string) {
	req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress()}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.recordOwn(now)
		s.partLog.Add(s.PeersAddress(), s.table.TakeNewParts())
		req.Gateways = clampUint32(s.fleet.CellSize(now))
		req.Loads = encodeLoads(s.occupancy.Zone(now))
		req.Demand = s.demandFor(now, address, s.demand.tracker.Zone)
		req.Parts = encodeParts(s.partLog.ForOtherZone(address))
		req.Suspects = s.suspects.NextMessage(now, address, false)
	})
	resp, ok := s.sendLoads(ctx, address, req)
	if !ok {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) { s.applyRelayAnswer(now, address, outsideCell, resp) })
}

// reportToRelay reports the load of this gateway to the relay, and applies the load of all
// others from its answer.
func (s *Server) reportToRelay(ctx context.Context, address string) {
	req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress()}
	s.control.DoWithoutCancel(func(now time.Time) {
		req.Loads = encodeLoads(s.table.Loads(now))
		req.Demand = s.demandFor(now, address, s.demand.tracker.Own)
		req.Parts = encodeParts(s.table.TakeNewParts())
		req.Suspects = s.suspects.NextMessage(now, address, true)
	})
	resp, ok := s.sendLoads(ctx, address, req)
	if !ok {
		return
	}
	s.control.DoWithoutCancel(func(now time.Time) {
		s.occupancy.RecordOthers(now, decodeLoads(resp.GetLoads()))
		s.recordOtherDemand(now, resp.GetDemand())
		s.table.AddPeerParts(now, decodeParts(resp.GetParts()))
		s.suspects.Receive(now, address, resp.GetSuspects(), 0)
		s.applyOthers(now, false)
	})
}

// exchangeWithRelays reports the load of this availability zone to the other relays, and
// applies the loads of their zones. Relays that have just called are skipped.
func (s *Server) exchangeWithRelays(ctx context.Context, every time.Duration) {
	var targets []string
	s.control.DoWithoutCancel(func(now time.Time) {
		for _, r := range s.fleet.Relays(now) {
			if !s.occupancy.RecentlyExchanged(now, r.Zone, every) {
				targets = append(targets, r.Address)
			}
		}
		s.recordOwn(now)
		s.partLog.Add(s.PeersAddress(), s.table.TakeNewParts())
		s.applyOthers(now, true)
	})
	for _, address := range targets {
		req := &gladegaugev1.TellLoadsRequest{Gateway: s.PeersAddress(), Zone: s.o.Settings.Zone}
		s.control.DoWithoutCancel(func(now time.Time) {
			req.Loads = encodeLoads(s.occupancy.Zone(now))
			req.Demand = s.demandFor(now, address, s.demand.tracker.Zone)
			req.Parts = encodeParts(s.partLog.ForOtherZone(address))
			req.Suspects = s.suspects.NextMessage(now, address, false)
		})
		resp, ok := s.sendLoads(ctx, address, req)
		if !ok {
			continue
		}
		s.control.DoWithoutCancel(func(now time.Time) { s.applyRelayAnswer(now, address, resp.GetZone(), resp) })
	}
}

// applyRelayAnswer applies the answer of another relay as the report of the availability
// zone. It runs in the control loop.
func (s *Server) applyRelayAnswer(now time.Time, address, zone string, resp *gladegaugev1.TellLoadsResponse) {
	s.occupancy.RecordZone(now, zone, decodeLoads(resp.GetLoads()))
	s.recordZoneDemand(now, address, zone, resp.GetDemand())
	s.applyZoneParts(now, decodeParts(resp.GetParts()))
	s.suspects.Receive(now, address, resp.GetSuspects(), 0)
	s.applyOthers(now, true)
}

// applyZoneParts applies the parts that another availability zone reported, and passes
// them on. It runs in the control loop.
func (s *Server) applyZoneParts(now time.Time, parts []occupancy.Part) {
	s.table.AddPeerParts(now, parts)
	s.partLog.Add("", parts)
}

// sendLoads calls one gateway. It returns false if there was no answer.
func (s *Server) sendLoads(ctx context.Context, address string, req *gladegaugev1.TellLoadsRequest) (*gladegaugev1.TellLoadsResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := s.peer(address).TellLoads(ctx, connect.NewRequest(req))
	s.metrics.peerCall("tell_loads", err)
	if err != nil {
		s.control.DoWithoutCancel(func(now time.Time) { s.fleet.RelayFailed(now, address) })
		return nil, false
	}
	if req.GetDemand().GetWithUsers() {
		s.control.DoWithoutCancel(func(now time.Time) { s.demand.recordExchange(now, address, true) })
	}
	return resp.Msg, true
}

// applyOthers makes the load of other gateways available to the selection of upstreams. It
// runs in the control loop.
func (s *Server) applyOthers(now time.Time, relay bool) {
	if loads, ok := s.occupancy.Others(now, relay); ok {
		changes := s.table.SetPeerLoads(now, balance.PeerLoads{
			Loads:    loads,
			Age:      s.occupancy.Age(),
			TTL:      s.occupancy.TTL(),
			Gateways: s.fleet.Size(now),
		})
		if changes.LimitsReported {
			s.publishClosed(now)
		}
		for _, l := range changes.Limited {
			s.log.Info().Str("upstream", l.ID).Bool("limited", l.Announced).Float64("per_second", l.PerSecond).
				Int("named_to", l.Votes.Limited).Int("free_to", l.Votes.Free).Dur("told_age", s.occupancy.Age()).
				Msg("limit of an upstream changed by reports of other gateways")
		}
		for _, h := range changes.Hanging {
			s.log.Info().Str("upstream", h.ID).Dur("waited", h.Waited).Msg("prompt hangs")
		}
		for _, o := range changes.Outvoted {
			s.log.Info().Str("upstream", o.ID).Int("against", o.Failing).Int("for", o.Served).Dur("last_for", o.DemotedFor).
				Dur("told_age", s.occupancy.Age()).Msg("upstream demoted by votes")
		}
	}
	s.releaseAll(now)
}

// recordOwn adds the load of this gateway to the sums. A relay receives reports more often
// than that load changes much, so that it is updated at most once per BaseInterval.
// It runs in the control loop.
func (s *Server) recordOwn(now time.Time) {
	if now.Sub(s.ownLoadAt) >= occupancy.BaseInterval {
		s.ownLoadAt = now
		s.occupancy.SetOwn(s.table.Loads(now))
	}
}

// TellLoads applies the report of another gateway, and answers with what that one does not
// know.
func (s *Server) TellLoads(_ context.Context, req *connect.Request[gladegaugev1.TellLoadsRequest]) (*connect.Response[gladegaugev1.TellLoadsResponse], error) {
	resp := &gladegaugev1.TellLoadsResponse{Zone: s.o.Settings.Zone}
	from := req.Msg.GetGateway()
	loads := decodeLoads(req.Msg.GetLoads())
	parts := decodeParts(req.Msg.GetParts())
	s.control.DoWithoutCancel(func(now time.Time) {
		s.recordOwn(now)
		if zone := req.Msg.GetZone(); zone != "" {
			s.occupancy.RecordZone(now, zone, loads)
			s.recordZoneDemand(now, from, zone, req.Msg.GetDemand())
			resp.Demand = s.answerDemand(now, req.Msg.GetDemand(), s.demand.tracker.Zone)
			s.applyZoneParts(now, parts)
			s.suspects.Receive(now, from, req.Msg.GetSuspects(), 0)
			resp.Suspects = s.suspects.NextMessage(now, from, false)
			resp.Loads = encodeLoads(s.occupancy.Zone(now))
			resp.Parts = encodeParts(s.partLog.ForOtherZone(from))
			return
		}
		s.table.AddPeerParts(now, parts)
		if !s.fleet.IsNeighbour(now, from) {
			// A gateway that reports to several relays would count as several witnesses: a
			// faulty one got a healthy replica ranked last for 1, 2 and 4 s in succession.
			loads = loads.WithoutVotes()
		}
		witness := xxhash.Sum64String(from)
		if n := int(req.Msg.GetGateways()); n > 1 && s.fleet.IsCellRelay(now, from) {
			s.occupancy.RecordCell(now, from, loads, min(n, fleet.MaxCellSize))
			witness = 0
		} else {
			s.occupancy.RecordMember(now, from, loads)
		}
		s.partLog.Add(from, parts)
		s.recordMemberDemand(now, from, req.Msg.GetDemand())
		resp.Demand = s.answerDemand(now, req.Msg.GetDemand(), func(now time.Time) demand.Report { return s.demand.tracker.For(now, from) })
		s.suspects.Receive(now, from, req.Msg.GetSuspects(), witness)
		resp.Suspects = s.suspects.NextMessage(now, from, false)
		resp.Loads = encodeLoads(s.occupancy.For(now, from))
		resp.Parts = encodeParts(s.partLog.For(from))
	})
	return connect.NewResponse(resp), nil
}
