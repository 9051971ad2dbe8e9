package session

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/queue"
	"github.com/gladegauge/gladegauge/internal/edge/configdir"
)

func readExampleConfig(t *testing.T, deployment string) *config.Config {
	t.Helper()
	source, err := configdir.Read(filepath.Join("..", "..", "examples", deployment))
	if err != nil {
		t.Fatal(err)
	}
	cfg, faults := config.New(source.Configuration)
	if cfg == nil {
		t.Fatal(faults)
	}
	return cfg
}

func readScript(t *testing.T, path string) *Script {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	script, err := ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// TestGoldenSessions compares complete transcripts; make golden updates the golden files.
func TestGoldenSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/sessions/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, path := range paths {
		script := readScript(t, path)
		t.Run(script.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := Run(script, readExampleConfig(t, script.Deployment), Current)
			is.NoErr(err)
			is.Equal(s.Violations(), nil)
			rows, err := json.MarshalIndent(s.Rows(), "", "  ")
			is.NoErr(err)
			g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"), goldie.WithNameSuffix(".golden"))
			g.Assert(t, script.Name, []byte(s.Transcript()+string(rows)+"\n"))
		})
	}
}

// TestChecksDetectViolations verifies that each check reports the violation of its guarantee.
func TestChecksDetectViolations(t *testing.T) {
	cfg := readExampleConfig(t, "tallowbark")
	reqs := func() []*request {
		counter, _ := cfg.Class("counter")
		activation, _ := cfg.Class("activation")
		return []*request{
			{id: 1, class: counter, tokens: 5, result: "completed"},
			{id: 2, class: activation, tokens: 1, result: "completed"},
		}
	}
	started := func(n int, class string) record {
		return record{Kind: engineStarted, Request: n, Class: class, Agent: "agent-1"}
	}
	tests := []struct {
		name    string
		records []record
		want    string
	}{
		{"run twice", []record{started(2, "activation"), started(2, "activation")}, "ran 2 times"},
		{"not run after a start", []record{started(1, "counter"), {Kind: finished, Request: 1, Class: "counter", Detail: "not_run overload"}}, "after it had been started"},
		{"started after not run", []record{{Kind: finished, Request: 1, Class: "counter", Detail: "not_run overload"}, started(1, "counter")}, "after it was answered"},
		{"incomplete response", []record{started(1, "counter"), {Kind: engineEnded, Request: 1, Class: "counter", Tokens: 5}, {Kind: finished, Request: 1, Class: "counter", Detail: "completed ", Tokens: 4}}, "4 of 5 tokens"},
		{"protected preempted", []record{{Kind: preempted, Request: 1, Class: "counter"}}, "protected request was preempted"},
		{"protected shed", []record{{Kind: refused, Request: 1, Class: "counter", Agent: "agent-1", Detail: "overload", PreemptibleRuns: 8}}, "protected request was shed"},
		{"leaving upstream", []record{{Kind: leaving, Agent: "agent-1"}, {At: 4e9, Kind: engineStarted, Request: 1, Class: "counter", Agent: "agent-1"}}, "began to leave"},
		{"answered twice", []record{{Kind: finished, Request: 1, Class: "counter", Detail: "unknown "}, {Kind: finished, Request: 1, Class: "counter", Detail: "unknown "}}, "answered twice"},
		{"starved", []record{{Kind: accepted, Request: 1, Class: "counter"}, {At: 61e9, Kind: engineStarted, Request: 1, Class: "counter"}}, "starved"},
		{"never answered", nil, "never answered"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			site := sites["tallowbark"]
			site.Config = cfg
			s := &Session{site: site, requests: reqs(), records: tt.records, clock: newClock(1)}
			s.agents = []*agentHost{{id: "agent-1", pool: "activation-model"}}
			is.True(strings.Contains(strings.Join(s.Violations(), "\n"), tt.want))
		})
	}
}

// TestChecksDetectBrokenPolicy verifies that the checks report violations by a policy
// without priorities and preemption under overload.
func TestChecksDetectBrokenPolicy(t *testing.T) {
	is := is.New(t)
	script := &Script{
		Name: "broken", Deployment: "tallowbark", Seconds: 90, Seed: 1,
		Load: []Load{
			{Class: "counter", To: 90, Share: 3},
			{Class: "overnight", To: 90, Share: 3},
		},
	}
	broken := Policy{
		Name:  "broken",
		Agent: agent.Options{Queue: queue.Policy{FIFO: true}, NoPreemption: true},
		Entry: entry.Options{Dispatch: dispatch.Options{ConcurrentOffers: 1}},
	}
	s, err := Run(script, readExampleConfig(t, "tallowbark"), broken)
	is.NoErr(err)
	is.True(len(s.Violations()) > 0)
}

// TestRunIsDeterministic verifies that two runs of a script yield the same transcript.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	script := Scenarios("salish")[9]
	script.Seconds = 40
	first, err := Run(script, readExampleConfig(t, "salish"), Current)
	is.NoErr(err)
	second, err := Run(script, readExampleConfig(t, "salish"), Current)
	is.NoErr(err)
	is.Equal(first.Transcript(), second.Transcript())
}

func TestParseScriptNamesTheField(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown fault", "seconds: 1\nfaults: [{kind: melt}]", "faults[0].kind"},
		{"missing duration", "name: x", "seconds"},
		{"unknown field", "seconds: 1\nspeed: 2", "speed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseScript([]byte(tt.text))
			is.True(err != nil && strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestZonePartition isolates an availability zone for two minutes under load. Both sides
// must continue to serve requests, and all guarantees must hold during the partition and
// after it.
func TestZonePartition(t *testing.T) {
	for _, deployment := range []string{"tallowbark", "salish"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			var inside, outside []string
			agents := 0
			for _, n := range sites[deployment].Replicas {
				agents += n
			}
			for n := 1; n <= agents; n++ {
				if (n-1)%len(sites[deployment].Zones) == 0 {
					inside = append(inside, agentName(n))
				} else {
					outside = append(outside, agentName(n))
				}
			}
			load := workloads[deployment].steady()
			for i := range load {
				load[i].Share /= 2 // A third of the agents must carry a third of this load.
			}
			script := &Script{
				Name: "zone-cut", Deployment: deployment, Seconds: scenarioEnd, Seed: 7, Load: load,
				Faults: []Fault{
					{Kind: Cut, At: 30, For: 120, Hosts: append([]string{"entry-1"}, outside...)},
					{Kind: Cut, At: 30, For: 120, Hosts: append([]string{"entry-2", "entry-3"}, inside...)},
				},
			}
			s, err := Run(script, readExampleConfig(t, deployment), Current)
			is.NoErr(err)
			is.Equal(s.Violations(), nil)
			started := map[string]int{}
			for _, r := range s.records {
				if r.Kind == engineStarted && r.At > 60*time.Second && r.At < 140*time.Second {
					started[r.Agent]++
				}
			}
			is.Equal(len(started), agents) // Every agent started requests.
			for _, row := range s.Rows() {
				if row.Protected {
					t.Logf("%s: attainment %.4f, unknown %d", row.Class, row.Attainment, row.Unknown)
					is.True(row.Attainment >= 0.97)
				}
			}
		})
	}
}
