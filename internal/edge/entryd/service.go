package entryd

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/route"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// service handles a request to a plain service. The path after the name of the service is
// forwarded.
func (s *Server) service(c echo.Context) error {
	cfg, p := s.config()
	if p != nil {
		return p.write(c)
	}
	o, p := authenticate(cfg, c.Request())
	if p != nil {
		return p.write(c)
	}
	pool, ok := cfg.PoolFor(c.Param("service"))
	if !ok || pool.Kind != config.KindService {
		return (&problem{
			status: http.StatusNotFound, code: CodeUnknownService, param: "service", notRun: true,
			message: "There is no plain service of this name.",
		}).write(c)
	}
	class, p := resolveClass(cfg, o, pool, c.Request())
	if p != nil {
		return p.write(c)
	}
	body, p := readBody(c)
	if p != nil {
		return p.write(c)
	}
	return s.forward(c, forwardedRequest{
		call: entry.Call{Organisation: o, Class: class, Pool: pool},
		path: servicePath(c.Request(), pool.Name),
		body: body,
		out:  &relay{c: c, writeTimeout: s.o.ReadTimeout},
	})
}

// servicePath returns the path and query within the service.
func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// keyTimeout limits the call for an idempotency key.
const keyTimeout = 2 * time.Second

// keyResponse is the response to a request for an idempotency key.
type keyResponse struct {
	Key         string `json:"key"`
	ExpiresInMs uint32 `json:"expires_in_ms"`
}

// issueKeyAtAgent requests an idempotency key from an agent of the pool.
func (s *Server) issueKeyAtAgent(c echo.Context, call entry.Call) error {
	var agents []member.Host
	s.loop.DoWithoutCancel(func(now time.Time) {
		agents = s.entry.Table().Pick(now, route.Request{Pool: call.Pool.Name, Tier: call.Class.Tier}, 2)
		for _, h := range agents {
			s.entry.OfferAnswered(h.ID)
		}
	})
	for _, h := range agents {
		ctx, cancel := context.WithTimeout(c.Request().Context(), keyTimeout)
		client := gladegaugev1connect.NewAgentServiceClient(s.rpcHTTP, s.o.Keys.URL(h.Address))
		resp, err := client.IssueKey(ctx, connect.NewRequest(&gladegaugev1.IssueKeyRequest{
			Organisation: call.Organisation.Name,
			Class:        call.Class.Name,
		}))
		cancel()
		if err == nil {
			return c.JSON(http.StatusOK, keyResponse{Key: resp.Msg.GetKey(), ExpiresInMs: resp.Msg.GetTtlMs()})
		}
	}
	return (&problem{
		status: http.StatusServiceUnavailable, code: CodeNoUpstream, notRun: true, retryAfter: time.Second,
		message: "No upstream can give out a key now.",
	}).write(c)
}
