package soak

import (
	"strconv"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Names in the published configurations.
const (
	host               = "soak.example"
	organisationPrefix = "org-"
	// permanentKey is never revoked.
	permanentKey = "lasting"
	pool         = "app"
)

// Timeout and latency targets of the routes, in milliseconds.
const (
	routeTimeoutMs = 2000
	routeTargetMs  = 200
	routeGapMs     = 200
)

// publish publishes the next configuration. It names the organisation after its version,
// so that replicas see which version is in effect. The caller holds the mutex, or nothing
// else runs yet.
func (h *Harness) publish() {
	h.version++
	h.store.PutConfig(standin.Config{
		Version: h.version,
		Engines: true,
		MaxBody: maxUpload,
		Routes: []standin.Route{
			route(kindRead, "idempotent", 2, false),
			route(kindWrite, "non_idempotent", 2, false),
			route(kindChat, "streaming", 1, false),
			route(kindNote, "streaming", 2, true),
			route(kindBrief, "streaming", 1, true),
		},
		Keys: map[string][]string{organisationOf(h.version): {permanentKey, h.nextRevokedKey}},
	})
	h.record.addVersion(h.version, time.Now())
}

// route returns the route for a kind of request; wire is the platform's name of the kind.
func route(kind, wire string, attempts int, resume bool) standin.Route {
	return standin.Route{
		Name: kind, Host: host, Prefix: "/" + kind + "/", Kind: wire, Pool: pool,
		TimeoutMs: routeTimeoutMs, TargetLatencyMs: routeTargetMs, TargetGapMs: routeGapMs, Attempts: attempts, Resume: resume,
	}
}

// organisationOf returns the name of the organisation in a version of the configuration.
func organisationOf(version int64) string {
	return organisationPrefix + strconv.FormatInt(version, 10)
}

// versionOf returns the version of the configuration that has an organisation of this
// name.
func versionOf(organisation string) int64 {
	v, _ := strconv.ParseInt(strings.TrimPrefix(organisation, organisationPrefix), 10, 64)
	return v
}
