//go:build review

package main

import "github.com/gladegauge/gladegauge/platform/standin"

// earlyConfig is a configuration with one route of a plain service.
func earlyConfig() standin.Config {
	return standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{Name: "upload", Host: "players.example", Prefix: "/up/", Kind: "non_idempotent", Pool: "players-app", TimeoutMs: 5000, TargetLatencyMs: 1200, Attempts: 1},
		},
		Keys:    map[string][]string{"member": {"key-1"}},
		MaxBody: 4_194_304,
	}
}
