package soak

import (
	"strconv"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Names in the soak's configurations.
const (
	host               = "soak.example"
	organisationPrefix = "org-"
	// lastingKey is never taken away.
	lastingKey = "lasting"
	pool       = "app"
)

// What the routes allow, in milliseconds.
const (
	routeTimeoutMs = 2000
	routeTargetMs  = 200
	routePauseMs   = 200
)

// publish writes the next configuration. Its organisation is named for its
// version, so that replicas see which one is in force. The caller holds the
// mutex, or is the only one yet.
func (w *World) publish() {
	w.version++
	w.store.PutConfig(standin.Config{
		Version: w.version,
		Engines: true,
		Routes: []standin.Route{
			route(kindRead, "idempotent", 2, false),
			route(kindWrite, "non_idempotent", 2, false),
			route(kindChat, "streaming", 1, false),
			route(kindNote, "streaming", 2, true),
		},
		Keys: map[string][]string{organisationOf(w.version): {lastingKey, w.spareKey}},
	})
	w.record.published(w.version, time.Now())
}

// route is the route of a kind of request; Wire is the platform's word for it.
func route(kind, wire string, attempts int, resume bool) standin.Route {
	return standin.Route{
		Name: kind, Host: host, Prefix: "/" + kind + "/", Kind: wire, Pool: pool,
		TimeoutMs: routeTimeoutMs, TargetLatencyMs: routeTargetMs, TargetGapMs: routePauseMs, Attempts: attempts, Resume: resume,
	}
}

// organisationOf names the organisation for the version.
func organisationOf(version int64) string {
	return organisationPrefix + strconv.FormatInt(version, 10)
}

// versionOf is the version that named the organisation.
func versionOf(organisation string) int64 {
	v, _ := strconv.ParseInt(strings.TrimPrefix(organisation, organisationPrefix), 10, 64)
	return v
}
