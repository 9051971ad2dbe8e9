package entryd

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	"github.com/gladegauge/gladegauge/internal/edge/convert"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// operatorService implements the OperatorService.
type operatorService struct{ s *Server }

func unavailable(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

// Status returns the state of the entry, the known hosts and the agents in use.
func (o *operatorService) Status(ctx context.Context, _ *connect.Request[gladegaugev1.StatusRequest]) (*connect.Response[gladegaugev1.StatusResponse], error) {
	resp := &gladegaugev1.StatusResponse{
		Id:         o.s.o.ID,
		Role:       gladegaugev1.Role_ROLE_ENTRY,
		Zone:       o.s.o.Zone,
		Ready:      o.s.notReadyReason() == "",
		Leaving:    o.s.leaving.Load(),
		InProgress: uint32(o.s.inFlight.Load()),
		Build:      program.Version(),
	}
	err := o.s.loop.Do(ctx, func(now time.Time) {
		resp.Version = o.s.sync.Version()
		for _, h := range o.s.members.All() {
			resp.Hosts = append(resp.Hosts, hostMessage(h))
		}
		if o.s.entry == nil {
			return
		}
		for _, p := range o.s.entry.Config().Pools() {
			resp.Upstreams = append(resp.Upstreams, upstreamMessages(o.s.entry.Table().States(now, p.Name, 1))...)
		}
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(resp), nil
}

func hostMessage(h member.Host) *gladegaugev1.Host {
	return &gladegaugev1.Host{
		Id: h.ID, Role: gladegaugev1.Role(h.Role), Address: h.Address,
		Zone: h.Zone, Pool: h.Pool, Leaving: h.Leaving,
	}
}

func upstreamMessages(states []route.State) []*gladegaugev1.UpstreamStatus {
	out := make([]*gladegaugev1.UpstreamStatus, 0, len(states))
	for _, st := range states {
		out = append(out, &gladegaugev1.UpstreamStatus{
			Id: st.ID, Pool: st.Pool, State: stateName(st),
			WaitMs: convert.Milliseconds(st.Wait), Pending: uint32(st.Pending),
		})
	}
	return out
}

func stateName(st route.State) string {
	switch {
	case st.Ejected:
		return "ejected"
	case st.Leaving:
		return "leaving"
	case !st.Known:
		return "unknown"
	default:
		return "ok"
	}
}

// Check validates a configuration and lists the changes from the current one.
func (o *operatorService) Check(ctx context.Context, req *connect.Request[gladegaugev1.CheckRequest]) (*connect.Response[gladegaugev1.CheckResponse], error) {
	cfg, faults := config.New(req.Msg.GetConfiguration())
	resp := &gladegaugev1.CheckResponse{Accepted: len(faults) == 0}
	for _, f := range faults {
		resp.Faults = append(resp.Faults, &gladegaugev1.Fault{Field: f.Field, Problem: f.Problem})
	}
	if cfg == nil {
		return connect.NewResponse(resp), nil
	}
	err := o.s.loop.Do(ctx, func(time.Time) {
		current := o.s.sync.Config()
		if current == nil {
			return
		}
		if cfg.Revision() <= current.Revision() && cfg.Digest() != current.Digest() {
			resp.Accepted = false
			resp.Faults = append(resp.Faults, &gladegaugev1.Fault{
				Field:   "revision",
				Problem: fmt.Sprintf("%d is not above the revision in force, %d", cfg.Revision(), current.Revision()),
			})
		}
		resp.Changes = config.Changes(current, cfg)
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(resp), nil
}

// Explain returns the expected handling of a request of a class.
func (o *operatorService) Explain(ctx context.Context, req *connect.Request[gladegaugev1.ExplainRequest]) (*connect.Response[gladegaugev1.ExplainResponse], error) {
	resp := &gladegaugev1.ExplainResponse{}
	err := o.s.loop.Do(ctx, func(now time.Time) {
		if o.s.entry == nil {
			resp.Decision = "held back"
			resp.Reasons = append(resp.Reasons, "no configuration is in force")
			return
		}
		e := o.s.entry.Explain(now, req.Msg.GetClass(), req.Msg.GetOrganisation())
		resp.Decision = e.Decision
		resp.Reasons = e.Reasons
		resp.Candidates = upstreamMessages(e.Candidates)
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(resp), nil
}

// Burn returns the counts of requests and misses at this entry.
func (o *operatorService) Burn(ctx context.Context, _ *connect.Request[gladegaugev1.BurnRequest]) (*connect.Response[gladegaugev1.BurnResponse], error) {
	resp := &gladegaugev1.BurnResponse{}
	err := o.s.loop.Do(ctx, func(time.Time) {
		for _, c := range o.s.burn.Cells() {
			resp.Cells = append(resp.Cells, &gladegaugev1.BurnCell{
				Class: c.Class, Organisation: c.Organisation, Minute: c.Minute,
				Total: c.Total, Missed: c.Missed, Refused: c.Refused,
			})
		}
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(resp), nil
}

// Drain makes the entry unready. Requests that still arrive are served.
func (o *operatorService) Drain(context.Context, *connect.Request[gladegaugev1.DrainRequest]) (*connect.Response[gladegaugev1.DrainResponse], error) {
	o.s.leaving.Store(true)
	o.s.o.Log.Info().Msg("drain requested by an operator; entry is not ready")
	return connect.NewResponse(&gladegaugev1.DrainResponse{InProgress: uint32(o.s.inFlight.Load())}), nil
}
