package entryd

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/edge/clock"
)

// Headers of the callers' API.
const (
	// ClassHeader is the class of a request.
	ClassHeader = "X-Gladegauge-Class"
	// IdempotencyKeyHeader is an idempotency key that an entry issued.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader is the ID that the entry assigned to a request.
	RequestIDHeader = "X-Request-Id"
)

// handler routes the requests of callers.
func (s *Server) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.onEchoError
	e.Use(s.limitMiddleware)
	e.GET("/v1/models", s.models)
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/idempotency-keys", s.issueKey)
	e.Any("/services/:service", s.service)
	e.Any("/services/:service/*", s.service)
	e.GET("/readyz", func(c echo.Context) error {
		if reason := s.notReadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// onEchoError responds to requests that no handler accepted.
func (s *Server) onEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := &problem{status: http.StatusInternalServerError, code: CodeInternal, message: "The answer could not be written.", outcomeUnknown: true}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		p = &problem{status: he.Code, code: CodeNotFound, message: "There is no such path or method.", notRun: true}
	}
	_ = p.write(c)
}

// limitMiddleware counts requests in progress and limits the size of the body and the
// time for sending it.
func (s *Server) limitMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		r := c.Request()
		_ = http.NewResponseController(c.Response()).SetReadDeadline(clock.Deadline(callerBodyTimeout))
		r.Body = http.MaxBytesReader(c.Response(), r.Body, int64(s.o.MaxBody))
		return next(c)
	}
}

// authenticate returns the organisation that owns the bearer key.
func authenticate(cfg *config.Config, r *http.Request) (*config.Organisation, *problem) {
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		if o, found := cfg.OrganisationByKey(strings.TrimSpace(bearer)); found {
			return o, nil
		}
	}
	return nil, &problem{
		status:  http.StatusUnauthorized,
		code:    CodeInvalidAPIKey,
		param:   "Authorization",
		message: "The bearer key is missing or belongs to no organisation.",
		notRun:  true,
	}
}

// config returns the current configuration, or an error if it is not confirmed yet.
func (s *Server) config() (*config.Config, *problem) {
	cfg := s.snapshot.Load()
	if cfg == nil || !s.ready.Load() {
		return nil, &problem{
			status:     http.StatusServiceUnavailable,
			code:       CodeNotReady,
			message:    "The entry has not confirmed its configuration yet. The request was not run.",
			notRun:     true,
			retryAfter: time.Second,
		}
	}
	return cfg, nil
}

// readBody reads the request body within the limits on its size and time.
func readBody(c echo.Context) ([]byte, *problem) {
	body, err := io.ReadAll(c.Request().Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{
			status:  http.StatusRequestEntityTooLarge,
			code:    CodeTooLarge,
			param:   "body",
			message: "The body is larger than the entry takes.",
			notRun:  true,
		}
	case err != nil:
		return nil, &problem{
			status:  http.StatusRequestTimeout,
			code:    CodeInvalidRequest,
			param:   "body",
			message: "The body did not arrive whole and in time.",
			notRun:  true,
		}
	default:
		_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
		return body, nil
	}
}

// resolveClass returns the class of a request to a pool: the one in the header, or else
// the default of the organisation.
func resolveClass(cfg *config.Config, o *config.Organisation, p *config.Pool, r *http.Request) (*config.Class, *problem) {
	name := r.Header.Get(ClassHeader)
	if name == "" {
		defaultName, ok := o.DefaultClass(p.Target())
		if !ok {
			return nil, &problem{
				status: http.StatusBadRequest, code: CodeNoDefaultClass, param: ClassHeader, notRun: true,
				message: "The organisation has no default class for " + p.Target() + "; the header must be set.",
			}
		}
		name = defaultName
	}
	class, ok := cfg.Class(name)
	switch {
	case !ok:
		return nil, &problem{
			status: http.StatusBadRequest, code: CodeUnknownClass, param: ClassHeader, notRun: true,
			message: "There is no class of this name.",
		}
	case !class.Allows(o.Name):
		return nil, &problem{
			status: http.StatusForbidden, code: CodeClassNotAllowed, param: ClassHeader, notRun: true,
			message: "The class is not open to the organisation.",
		}
	case !cfg.Serves(p.Name, name):
		return nil, &problem{
			status: http.StatusBadRequest, code: CodeClassNotServed, param: ClassHeader, notRun: true,
			message: "The class is not served by " + p.Target() + ".",
		}
	}
	return class, nil
}

// keyIssuer returns the agent that issued the idempotency key of a request, if it has
// one, and the agent's incarnation. If that agent is gone, it is unknown whether an
// earlier use of the key ran.
func (s *Server) keyIssuer(key string) (member.Host, string, *problem) {
	if key == "" {
		return member.Host{}, "", nil
	}
	id, incarnation, ok := agent.KeyAgent(key)
	if !ok {
		return member.Host{}, "", &problem{
			status: http.StatusBadRequest, code: CodeInvalidIdempotencyKey, param: IdempotencyKeyHeader, notRun: true,
			message: "The key was not issued by /v1/idempotency-keys. The request was not run.",
		}
	}
	var host member.Host
	s.loop.DoWithoutCancel(func(time.Time) { host, ok = s.entry.Table().Host(id) })
	if !ok {
		return member.Host{}, "", &problem{
			status: http.StatusBadGateway, code: CodeOutcomeUnknown, param: IdempotencyKeyHeader, outcomeUnknown: true,
			message: "The process that holds the key is gone; whether an earlier use of the key ran is unknown.",
		}
	}
	return host, incarnation, nil
}

// models lists the models that the organisation may use.
func (s *Server) models(c echo.Context) error {
	cfg, p := s.config()
	if p != nil {
		return p.write(c)
	}
	o, p := authenticate(cfg, c.Request())
	if p != nil {
		return p.write(c)
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, pool := range cfg.Pools() {
		if pool.Kind == config.KindModel && mayUse(cfg, pool, o) {
			list.Data = append(list.Data, model{ID: pool.Model, Object: "model", OwnedBy: "gladegauge"})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// mayUse reports whether the organisation may use any class of the pool.
func mayUse(cfg *config.Config, p *config.Pool, o *config.Organisation) bool {
	for _, name := range p.Classes {
		if class, ok := cfg.Class(name); ok && class.Allows(o.Name) {
			return true
		}
	}
	return false
}

// keyRequest is the body of a request for an idempotency key.
type keyRequest struct {
	Target string `json:"target"`
}

// issueKey issues an idempotency key for a plain service or model.
func (s *Server) issueKey(c echo.Context) error {
	cfg, p := s.config()
	if p != nil {
		return p.write(c)
	}
	o, p := authenticate(cfg, c.Request())
	if p != nil {
		return p.write(c)
	}
	body, p := readBody(c)
	if p != nil {
		return p.write(c)
	}
	var req keyRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return invalidRequest("body", "The body is not JSON: "+err.Error()).write(c)
	}
	pool, ok := cfg.PoolFor(req.Target)
	if !ok {
		return invalidRequest("target", "There is no model or plain service of this name.").write(c)
	}
	class, p := resolveClass(cfg, o, pool, c.Request())
	if p != nil {
		return p.write(c)
	}
	return s.issueKeyAtAgent(c, entry.Call{Organisation: o, Class: class, Pool: pool})
}
