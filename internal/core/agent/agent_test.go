package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/config"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

var t0 = time.Unix(1_800_000_000, 0)

func testConfig(t testing.TB) *config.Config {
	t.Helper()
	cfg, faults := config.New(&gladegaugev1.Configuration{
		Revision: 1,
		Classes: []*gladegaugev1.Class{
			{Name: "ruling", Tier: 1, Protected: true, Repeatable: true, FirstTokenMs: 1500},
			{Name: "registration", Tier: 1, Protected: true, CompletionMs: 2000, ExpectedTokens: 1},
			{Name: "question", Tier: 3, Repeatable: true, FirstTokenMs: 3000, UsefulMs: 6000},
			{Name: "report", Tier: 5, Repeatable: true, CompletionMs: 600000},
		},
		Pools: []*gladegaugev1.Pool{{
			Name: "judge", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "judge", Slots: 2,
			Classes: []string{"ruling", "registration", "question", "report"},
		}},
		Organisations: []*gladegaugev1.Organisation{{Name: "hall"}},
	})
	if cfg == nil {
		t.Fatal(faults)
	}
	return cfg
}

func newAgent(t testing.TB, o Options) *Agent {
	o.Incarnation = "first"
	if o.Slots == 0 {
		o.Slots = 2
	}
	secrets := 0
	o.NewKey = func() string { secrets++; return fmt.Sprintf("secret-secret-%04d", secrets) }
	return New(o, testConfig(t))
}

func offer(id, class string, at time.Time) Offer {
	return Offer{ID: id, Class: class, Organisation: "hall", Weight: 1, Arrived: at, Copies: 1}
}

// formatEffects formats effects for comparison.
func formatEffects(effects []Effect) string {
	var words []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case Grant:
			words = append(words, "grant "+e.ID)
		case Refuse:
			words = append(words, "refuse "+e.ID+" "+e.Reason.String())
		case Start:
			words = append(words, fmt.Sprintf("start %s %d", e.ID, e.Produced))
		case Stop:
			words = append(words, fmt.Sprintf("stop %s %v", e.ID, e.Preempted))
		case Fail:
			words = append(words, fmt.Sprintf("fail %s %v", e.ID, e.AlreadyRun))
		}
	}
	return strings.Join(words, ", ")
}

// step is one event of a test case and the expected effects.
type step struct {
	at   time.Duration
	do   func(a *Agent, now time.Time) []Effect
	want string
}

func offers(id, class string) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Offer(now, offer(id, class, now)) }
}

func claims(id string) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Claim(now, id, "first") }
}

func withdraws(id string) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Withdraw(now, id) }
}

func ends(id string, end End, produced int) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Ended(now, id, end, produced) }
}

func stopped(id string, produced int) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Stopped(now, id, produced) }
}

func rests(d time.Duration) func(*Agent, time.Time) []Effect {
	return func(a *Agent, now time.Time) []Effect { return a.Backoff(now, d) }
}

func ticks(a *Agent, now time.Time) []Effect { return a.Tick(now) }

func drains(a *Agent, now time.Time) []Effect { return a.Drain(now) }

func TestAttempts(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name  string
		slots int
		steps []step
	}{
		{"attempt runs once", 2, []step{
			{0, offers("a", "ruling"), "grant a"},
			{2 * ms, claims("a"), "start a 0"},
			{3 * ms, claims("a"), ""},
			{4 * ms, offers("a", "ruling"), ""},
			{900 * ms, ends("a", Completed, 5), ""},
			{901 * ms, claims("a"), "fail a true"},
			{902 * ms, offers("a", "ruling"), "fail a true"},
		}},
		{"upstream backoff", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{ms, claims("a"), "start a 0"},
			{2 * ms, offers("b", "ruling"), ""},
			{3 * ms, rests(2 * time.Second), "refuse b upstream_down"},
			{4 * ms, offers("c", "ruling"), "refuse c upstream_down"},
			{5 * ms, rests(time.Second), ""}, // Ends before the current backoff.
			{6 * ms, ends("a", Completed, 5), ""},
			{1900 * ms, offers("d", "ruling"), "refuse d upstream_down"},
			{2004 * ms, offers("e", "ruling"), "grant e"},
		}},
		{"late claim starts nothing", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{10 * ms, offers("b", "ruling"), ""},
			{GrantTTL + 200*ms, claims("a"), "refuse a stale, grant b"},
			{GrantTTL + 201*ms, offers("a", "ruling"), "refuse a stale"},
		}},
		{"slot of an expired grant goes to the next request", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{10 * ms, offers("b", "ruling"), ""},
			{GrantTTL + 10*ms, ticks, "refuse a stale, grant b"},
		}},
		{"withdrawn before its offer", 1, []step{
			{0, withdraws("a"), ""},
			{ms, offers("a", "ruling"), "refuse a stale"},
		}},
		{"withdrawn while granted", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, offers("b", "ruling"), ""},
			{2 * ms, withdraws("a"), "grant b"},
			{3 * ms, claims("a"), "refuse a stale"},
		}},
		{"withdrawn while running", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2 * ms, withdraws("a"), "stop a false"},
			{3 * ms, withdraws("a"), ""},
			{4 * ms, stopped("a", 3), ""},
			{5 * ms, offers("a", "ruling"), "fail a true"},
		}},
		{"preempted and resumed", 1, []step{
			{0, offers("low", "report"), "grant low"},
			{1 * ms, claims("low"), "start low 0"},
			{100 * ms, offers("high", "ruling"), "stop low true"},
			{110 * ms, stopped("low", 40), "grant high"},
			{111 * ms, claims("high"), "start high 0"},
			{900 * ms, ends("high", Completed, 9), "start low 40"},
		}},
		{"protected request is not preempted", 1, []step{
			{0, offers("first", "ruling"), "grant first"},
			{1 * ms, claims("first"), "start first 0"},
			{2 * ms, offers("second", "registration"), ""},
		}},
		{"non-repeatable request is not preempted", 1, []step{
			{0, offers("r", "registration"), "grant r"},
			{1 * ms, claims("r"), "start r 0"},
			{2 * ms, offers("ruling", "ruling"), ""},
		}},
		{"draining refuses waiting requests and completes runs", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2 * ms, offers("b", "ruling"), ""},
			{3 * ms, drains, "refuse b leaving"},
			{4 * ms, offers("c", "ruling"), "refuse c leaving"},
			{900 * ms, ends("a", Completed, 5), ""},
		}},
		{"grants and waiting requests expire after a pause", 1, []step{
			{0, ticks, ""},
			{1 * ms, offers("a", "ruling"), "grant a"},
			{2 * ms, offers("b", "ruling"), ""},
			{30 * time.Second, claims("a"), "refuse a stale, grant b"},
			{30*time.Second + ms, claims("b"), "refuse b stale"},
			{30*time.Second + 2*ms, ticks, ""},
			{30*time.Second + 3*ms, offers("c", "ruling"), "grant c"},
		}},
		{"response too late to be useful", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2 * ms, offers("q", "question"), ""},
			{2900 * ms, ticks, ""},
			{5500 * ms, ticks, ""},
			{6010 * ms, ticks, "refuse q expired"},
		}},
		{"upstream down", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2 * ms, offers("b", "ruling"), ""},
			{3 * ms, func(a *Agent, now time.Time) []Effect { return a.SetDown(now, true) }, "refuse b upstream_down"},
			{4 * ms, offers("c", "ruling"), "refuse c upstream_down"},
			{5 * ms, ends("a", Interrupted, 2), ""},
			{6 * ms, func(a *Agent, now time.Time) []Effect { return a.SetDown(now, false) }, ""},
			{7 * ms, offers("d", "ruling"), "grant d"},
		}},
		{"claim for the grant of an earlier incarnation", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{ms, func(a *Agent, now time.Time) []Effect { return a.Claim(now, "a", "earlier") }, "refuse a wrong_incarnation"},
		}},
		{"upstream hangs", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2 * ms, func(a *Agent, now time.Time) []Effect { return a.SetDown(now, true) }, ""},
			{1500 * ms, ticks, ""},
			{2100 * ms, ticks, "stop a false"},
			{2101 * ms, stopped("a", 3), "fail a false"},
			{2102 * ms, offers("a", "ruling"), "fail a true"},
		}},
		{"run produces no tokens", 1, []step{
			{0, offers("a", "ruling"), "grant a"},
			{1 * ms, claims("a"), "start a 0"},
			{2000 * ms, ticks, ""},
			{4000 * ms, func(a *Agent, now time.Time) []Effect { a.Progress(now, "a", 2); return a.Tick(now) }, ""},
			{6500 * ms, ticks, ""}, {9000 * ms, ticks, ""}, {11500 * ms, ticks, ""}, {14000 * ms, ticks, ""},
			{16500 * ms, ticks, ""}, {18900 * ms, ticks, ""},
			{19100 * ms, ticks, "stop a false"},
			{19101 * ms, stopped("a", 2), "fail a false"},
		}},
		{"unknown class", 1, []step{{0, offers("a", "vip"), "refuse a unknown_class"}}},
		{"offer to an earlier incarnation", 1, []step{
			{0, func(a *Agent, now time.Time) []Effect {
				o := offer("a", "ruling", now)
				o.Incarnation = "earlier"
				return a.Offer(now, o)
			}, "refuse a wrong_incarnation"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(t, Options{Slots: tt.slots})
			for _, s := range tt.steps {
				is.Equal(formatEffects(s.do(a, t0.Add(s.at))), s.want)
			}
		})
	}
}

// TestProtectedIsShedLast fills the agent with runs of a lower tier. Protected
// requests must not be refused while such a run remains to be preempted.
func TestProtectedIsShedLast(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, Options{Slots: 8})
	running := map[string]bool{}
	for i := range 8 {
		id := fmt.Sprintf("report-%d", i)
		a.Offer(t0, offer(id, "report", t0))
		a.Claim(t0, id, "first")
		running[id] = true
	}
	refused := 0
	for i := range 60 {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		for _, effect := range a.Offer(now, offer(fmt.Sprintf("ruling-%d", i), "ruling", now)) {
			switch e := effect.(type) {
			case Stop:
				delete(running, e.ID)
			case Refuse:
				refused++
				is.Equal(len(running), 0)
			}
		}
	}
	is.True(refused > 0)
}

func TestIdempotencyKeys(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, Options{})
	key, _ := a.IssueKey(t0, "agent-1", "hall", "registration")
	id, incarnation, ok := KeyAgent(key)
	is.True(ok)
	is.Equal(id+" "+incarnation, "agent-1 first")
	with := func(attempt, k string) Offer {
		o := offer(attempt, "registration", t0)
		o.Key = k
		return o
	}
	is.Equal(formatEffects(a.Offer(t0, with("a", key))), "grant a")
	is.Equal(formatEffects(a.Offer(t0, with("b", key))), "grant b")
	is.Equal(formatEffects(a.Claim(t0, "a", "first")), "start a 0")
	is.Equal(formatEffects(a.Claim(t0, "b", "first")), "fail b true")
	is.Equal(formatEffects(a.Offer(t0, with("c", key))), "fail c true")
	is.Equal(formatEffects(a.Offer(t0, with("d", "agent-1.first.0123456789abcdef"))), "refuse d unknown_key")
	is.Equal(formatEffects(a.Ended(t0, "a", NeverRan, 0)), "")
	is.Equal(formatEffects(a.Offer(t0, with("e", key))), "grant e")
	a.Tick(t0.Add(keyTTL + time.Second))
	is.Equal(len(a.keys), 0)
}
