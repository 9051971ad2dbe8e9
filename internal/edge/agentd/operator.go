package agentd

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/edge/convert"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// IssueKey issues an idempotency key that is valid only at this incarnation.
func (s *Server) IssueKey(ctx context.Context, req *connect.Request[gladegaugev1.IssueKeyRequest]) (*connect.Response[gladegaugev1.IssueKeyResponse], error) {
	resp := &gladegaugev1.IssueKeyResponse{}
	err := s.loop.Do(ctx, func(now time.Time) {
		if s.agent == nil || s.agent.Leaving() {
			return
		}
		key, ttl := s.agent.IssueKey(now, s.o.ID, req.Msg.GetOrganisation(), req.Msg.GetClass())
		resp.Key = key
		resp.TtlMs = convert.Milliseconds(ttl)
	})
	if err != nil || resp.GetKey() == "" {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the agent takes no new work"))
	}
	return connect.NewResponse(resp), nil
}

// operatorService implements the OperatorService.
type operatorService struct{ s *Server }

// Status returns the state of the agent and the queue lengths by class.
func (o *operatorService) Status(ctx context.Context, _ *connect.Request[gladegaugev1.StatusRequest]) (*connect.Response[gladegaugev1.StatusResponse], error) {
	resp := &gladegaugev1.StatusResponse{
		Id:    o.s.o.ID,
		Role:  gladegaugev1.Role_ROLE_AGENT,
		Zone:  o.s.o.Zone,
		Ready: o.s.notReadyReason() == "",
		Build: program.Version(),
	}
	err := o.s.loop.Do(ctx, func(time.Time) {
		resp.Version = o.s.sync.Version()
		resp.InProgress = uint32(len(o.s.sessions))
		resp.Leaving = o.s.leaving.Load()
		if o.s.agent == nil {
			return
		}
		queued, running := o.s.agent.Counts(o.s.classes())
		for class, n := range queued {
			resp.Classes = append(resp.Classes, &gladegaugev1.ClassStatus{
				Class: class, Queued: uint32(n), Running: uint32(running[class]),
			})
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	slices.SortFunc(resp.GetClasses(), func(a, b *gladegaugev1.ClassStatus) int {
		return cmp.Compare(a.GetClass(), b.GetClass())
	})
	return connect.NewResponse(resp), nil
}

// Drain stops the admission of new work. The process runs until it is told to stop.
func (o *operatorService) Drain(ctx context.Context, _ *connect.Request[gladegaugev1.DrainRequest]) (*connect.Response[gladegaugev1.DrainResponse], error) {
	o.s.leaving.Store(true)
	resp := &gladegaugev1.DrainResponse{}
	err := o.s.loop.Do(ctx, func(now time.Time) {
		if o.s.agent != nil {
			o.s.deliver(o.s.agent.Drain(now))
		}
		resp.InProgress = uint32(len(o.s.sessions))
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	o.s.o.Log.Info().Msg("drain requested by an operator; no new work is accepted")
	return connect.NewResponse(resp), nil
}

// errEntryOnly is the error of calls that only entries implement.
var errEntryOnly = errors.New("ask an entry")

// Check is implemented by entries only.
func (o *operatorService) Check(context.Context, *connect.Request[gladegaugev1.CheckRequest]) (*connect.Response[gladegaugev1.CheckResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errEntryOnly)
}

// Explain is implemented by entries only.
func (o *operatorService) Explain(context.Context, *connect.Request[gladegaugev1.ExplainRequest]) (*connect.Response[gladegaugev1.ExplainResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errEntryOnly)
}

// Burn is implemented by entries only.
func (o *operatorService) Burn(context.Context, *connect.Request[gladegaugev1.BurnRequest]) (*connect.Response[gladegaugev1.BurnResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errEntryOnly)
}
