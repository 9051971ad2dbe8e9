//go:build review

package main

import "github.com/gladegauge/gladegauge/platform/standin"

// earlyConfig is a configuration with a plain and a streaming route.
func earlyConfig() standin.Config {
	return standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{Name: "upload", Host: "players.example", Prefix: "/up/", Kind: "non_idempotent", Pool: "players-app", TimeoutMs: 5000, TargetLatencyMs: 1200, Attempts: 1},
			{Name: "ruling-lookup", Host: "players.example", Prefix: "/ask/", Kind: "streaming", Pool: "players-app", TimeoutMs: 5000, TargetLatencyMs: 1200, TargetGapMs: 1000, Attempts: 1},
		},
		Keys:    map[string][]string{"member": {"key-1"}},
		MaxBody: 4_194_304,
	}
}

// floodConfig is a configuration with one streaming route, as that of ruling-lookup at the site
// salish-shuffle.
func floodConfig() standin.Config {
	return standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{Name: "ruling-lookup", Host: "judges.example", Prefix: "/ruling/", Kind: "streaming", Pool: "judge-model", TimeoutMs: 5000, TargetLatencyMs: 1200, TargetGapMs: 1000, Attempts: 1, Tier: 2},
		},
		Keys:    map[string][]string{"member": {"key-1"}},
		MaxBody: 4_194_304,
	}
}

// foreignConfig is a configuration with the routes of players-app at the site salish-shuffle.
func foreignConfig() standin.Config {
	return standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{Name: "registration", Host: "players.example", Prefix: "/registration/", Kind: "non_idempotent", Pool: "players-app", TimeoutMs: 1000, TargetLatencyMs: 150, Attempts: 1, Tier: 2},
			{Name: "standings-push", Host: "players.example", Prefix: "/standings/", Kind: "idempotent", Pool: "players-app", TimeoutMs: 1000, TargetLatencyMs: 150, Attempts: 2, Tier: 2},
		},
		Keys:    map[string][]string{"member": {"key-1"}},
		MaxBody: 4_194_304,
	}
}
