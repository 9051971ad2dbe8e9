package suspect

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

// after returns the moment s seconds after the beginning.
func after(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func printNamed(name string) Print { return PrintOf(Content{URI: name}) }

// saw is one word of another gateway, or of this one if the witness is 0.
type saw struct {
	at      float64
	print   string
	start   uint64
	round   uint32
	witness uint64
	// ran is in seconds; 0.1 if it is 0.
	ran float64
}

// duration is how long it had run.
func (s saw) duration() time.Duration {
	if s.ran == 0 {
		return 100 * time.Millisecond
	}
	return time.Duration(s.ran * float64(time.Second))
}

// hear gives the words to the register, one message each.
func hear(r *Register, words []saw) {
	for _, w := range words {
		now := after(w.at)
		switch {
		case w.witness != 0:
			r.Hear(now, fmt.Sprint(w.witness), Message{Words: []Word{{
				Print: printNamed(w.print), Round: w.round, Start: w.start, Witness: w.witness, At: now, Ran: w.duration(),
			}}}, 0)
		case w.start == 0:
			r.Survived(now, printNamed(w.print))
		default:
			r.Ended(now, printNamed(w.print), w.start, w.duration())
		}
	}
}

// Who is to blame, by what evidence of whom, and what clears.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		words []saw
		at    float64
		want  Verdict
	}{
		{"nothing", nil, 0, Free},
		{"one end", []saw{{1, "p", 1, 0, 0, 0}}, 2, Free},
		{"two ends", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}}, 3, Quarantined},
		{"three ends", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}}, 4, Blocked},
		{"three ends of one start", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 1, 0, 0, 0}, {3, "p", 1, 0, 0, 0}}, 4, Free},
		{"three ends at once, as of a rack", []saw{{1, "p", 1, 0, 0, 0}, {1, "p", 2, 0, 0, 0}, {1.02, "p", 3, 0, 0, 0}}, 2, Free},
		{"ends at once, twice", []saw{{1, "p", 1, 0, 0, 0}, {1, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}, {3, "p", 4, 0, 0, 0}}, 4, Quarantined},
		{"one after the other within a moment", []saw{{print: "p", at: 1, start: 1, ran: 0.1}, {print: "p", at: 1.01, start: 2, ran: 0.005}, {print: "p", at: 1.02, start: 3, ran: 0.005}}, 2, Blocked},
		{"copies that run beside each other", []saw{{print: "p", at: 1, start: 1, ran: 0.5}, {print: "p", at: 1.3, start: 2, ran: 0.5}, {print: "p", at: 1.6, start: 3, ran: 0.5}, {print: "p", at: 1.9, start: 4, ran: 0.5}, {print: "p", at: 2.2, start: 5, ran: 0.5}}, 3, Blocked},
		{"three gateways", []saw{{1, "p", 1, 0, 7, 0}, {2, "p", 2, 0, 8, 0}, {3, "p", 3, 0, 9, 0}}, 4, Blocked},
		{"one other gateway", []saw{{1, "p", 1, 0, 7, 0}, {2, "p", 2, 0, 7, 0}, {3, "p", 3, 0, 7, 0}, {4, "p", 4, 0, 7, 0}}, 5, Quarantined},
		{"one other gateway and this one", []saw{{1, "p", 1, 0, 7, 0}, {2, "p", 2, 0, 7, 0}, {3, "p", 3, 0, 0, 0}}, 4, Blocked},
		{"the same end by two", []saw{{1, "p", 1, 0, 7, 0}, {1, "p", 1, 0, 8, 0}, {2, "p", 2, 0, 7, 0}}, 4, Quarantined},
		{"answered in between", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 0, 0, 0, 0}, {4, "p", 3, 0, 0, 0}}, 5, Free},
		{"answered after the third", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 7, 0}, {3, "p", 3, 0, 0, 0}, {4, "p", 0, 0, 0, 0}}, 5, Free},
		{"answered elsewhere", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}, {4, "p", 0, 1, 7, 0}}, 5, Free},
		{"a late word of before it was answered", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 0, 0, 0, 0}, {4, "p", 3, 0, 7, 0}, {5, "p", 4, 0, 8, 0}, {6, "p", 5, 0, 9, 0}}, 7, Free},
		{"cleared for many rounds by a faulty word", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 0, 99, 7, 0}, {3, "p", 2, 0, 0, 0}, {4, "p", 3, 0, 0, 0}}, 5, Blocked},
		{"at all ends of one that was at more", []saw{
			{1, "q", 1, 0, 0, 0}, {1, "p", 1, 0, 0, 0}, {2, "q", 2, 0, 7, 0}, {2, "p", 2, 0, 0, 0}, {3, "q", 3, 0, 0, 0}, {3, "p", 3, 0, 8, 0}, {4, "q", 4, 0, 0, 0},
		}, 5, Quarantined},
		{"at the same three ends as another", []saw{
			{1, "q", 1, 0, 0, 0}, {1, "p", 1, 0, 0, 0}, {2, "q", 2, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "q", 3, 0, 0, 0}, {3, "p", 3, 0, 0, 0},
		}, 5, Quarantined},
		{"at the same four ends as another", []saw{
			{1, "q", 1, 0, 0, 0}, {1, "p", 1, 0, 0, 0}, {2, "q", 2, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "q", 3, 0, 0, 0}, {3, "p", 3, 0, 0, 0}, {4, "q", 4, 0, 0, 0}, {4, "p", 4, 0, 0, 0},
		}, 5, Blocked},
		{"blocked for a minute", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}}, 62, Blocked},
		{"after the block one may try", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}}, 64, Quarantined},
		{"one more end blocks it for longer", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}, {65, "p", 4, 0, 0, 0}}, 180, Blocked},
		{"but not for good", []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}, {65, "p", 4, 0, 0, 0}}, 190, Quarantined},
		{"answered here a moment before", []saw{{1, "p", 0, 0, 0, 0}, {2, "p", 1, 0, 0, 0}, {3, "p", 2, 0, 7, 0}, {4, "p", 3, 0, 8, 0}}, 5, Free},
		{"answered here minutes before", []saw{{1, "p", 0, 0, 0, 0}, {62, "p", 1, 0, 0, 0}, {63, "p", 2, 0, 7, 0}, {64, "p", 3, 0, 8, 0}}, 65, Blocked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegister(1, 1)
			hear(r, tt.words)
			is.Equal(r.Look(after(tt.at), printNamed("p")).String(), tt.want.String())
		})
	}
}

// A suspect runs once at a time at a gateway.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1, 1)
	hear(r, []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 7, 0}})
	p := printNamed("p")
	is.Equal(r.Enter(after(3), p), Quarantined)
	is.Equal(r.Enter(after(3), p), Occupied)
	is.Equal(r.Enter(after(3), printNamed("other")), Free)
	r.Leave(p)
	is.Equal(r.Enter(after(3), p), Quarantined)
}

// A gateway that started again under its address is another witness than before.
func TestEarlierStartOfTheGateway(t *testing.T) {
	is := is.New(t)
	before := NewRegister(1, 1)
	hear(before, []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}})
	now := NewRegister(1, 2)
	now.Hear(after(4), "relay", before.Tell("a", false), 0)
	is.Equal(now.Look(after(4), printNamed("p")), Quarantined)
	hear(now, []saw{{5, "p", 4, 0, 0, 0}})
	is.Equal(now.Look(after(6), printNamed("p")), Blocked)
}

// A flood of ends, or of suspects made on purpose, is held within bounds, and does not
// push out what is certain.
func TestFlood(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1, 1)
	hear(r, []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 0, 0}, {3, "p", 3, 0, 0, 0}})
	for i := range 20 * recordsKept {
		hear(r, []saw{{4 + float64(i)/100, fmt.Sprint(i), uint64(i/10 + 100), 0, uint64(i%3 + 7), 0}})
	}
	is.Equal(r.Known(), recordsKept)
	is.Equal(r.Ends(printNamed("p")), 3)
	is.Equal(r.Look(after(60), printNamed("p")), Blocked)
	is.True(len(r.Tell("a", false).Words) <= wordsMost)
	is.Equal(len(r.log.words), wordsKept)
	for i := range 3 * peersKept {
		r.Tell(fmt.Sprint(i), false)
	}
	is.True(len(r.peers) <= peersKept)
	r.Sweep(after(4000))
	is.Equal(r.Known(), 0)
}

// A gateway that starts anew is told all that its relay knows, also if nothing happens
// any more. Messages that say nothing are not sent.
func TestNewcomer(t *testing.T) {
	is := is.New(t)
	relay := NewRegister(1, 1)
	hear(relay, []saw{{1, "p", 1, 0, 0, 0}, {2, "p", 2, 0, 7, 0}, {3, "p", 3, 0, 8, 0}})
	swap := func(g *Register) {
		if req := g.Tell("relay", true); !req.Empty() {
			relay.Hear(after(4), "g", req, 9)
		}
		if resp := relay.Tell("g", false); !resp.Empty() {
			g.Hear(after(4), "relay", resp, 0)
		}
	}
	for epoch := range uint64(3) {
		g := NewRegister(2, epoch+5)
		for range 4 {
			swap(g)
		}
		is.Equal(g.Look(after(4), printNamed("p")), Blocked)
	}
}

// Each verdict is reached by all gateways of a zone whatever becomes of the messages
// between them and their relay: some are lost on the way there or back, some come
// twice or late, and one gateway starts anew.
func TestWordsOverBadLinks(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 5))
		const members = 4
		relay := NewRegister(1, 1)
		all := make([]*Register, members)
		for i := range all {
			all[i] = NewRegister(uint64(i+2), seed+2)
		}
		var late []func(now time.Time)
		swap := func(now time.Time, i int, sound bool) {
			name := fmt.Sprint("m", i)
			lost := func() bool { return !sound && rng.Float64() < 0.4 }
			req := all[i].Tell("relay", true)
			if lost() {
				return
			}
			relay.Hear(now, name, req, uint64(i+100))
			if rng.Float64() < 0.2 {
				late = append(late, func(now time.Time) { relay.Hear(now, name, req, uint64(i+100)) })
			}
			resp := relay.Tell(name, false)
			if !lost() {
				all[i].Hear(now, "relay", resp, 0)
			}
		}
		now := t0
		step := func(rounds int, sound bool) {
			for range rounds {
				now = now.Add(100 * time.Millisecond)
				for i := range all {
					swap(now, i, sound)
				}
			}
		}
		for end := range 3 {
			all[rng.IntN(members)].Ended(now, printNamed("p"), uint64(end+1), 0)
			all[rng.IntN(members)].Ended(now, printNamed("innocent"), uint64(end+1), 0)
			all[rng.IntN(members)].Survived(now, printNamed("innocent"))
			step(5, false)
		}
		all[0] = NewRegister(2, seed+99)
		for _, f := range late {
			f(now)
		}
		step(8, true)
		for _, r := range append(all, relay) {
			// What the one that started anew had not told yet is gone.
			is.True(r.Look(now, printNamed("p")) >= Quarantined)
			is.Equal(r.Look(now, printNamed("innocent")), relay.Look(now, printNamed("innocent")))
			is.Equal(r.Ends(printNamed("p")) >= 2, true)
		}
	}
}

// BenchmarkFull names the memory of a register with all that it remembers.
func BenchmarkFull(b *testing.B) {
	for b.Loop() {
		var before, now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := NewRegister(1, 1)
		for i := range 3 * recordsKept {
			for end := range blockAt {
				r.Ended(after(float64(i)+float64(end)), printNamed(fmt.Sprint(i)), uint64(1000*i+end), 0)
			}
		}
		for i := range 2 * soundKept {
			r.Survived(after(float64(3*recordsKept+40*(i/soundKept))), printNamed(fmt.Sprint("sound-", i)))
		}
		runtime.GC()
		runtime.ReadMemStats(&now)
		b.ReportMetric(float64(now.HeapAlloc-before.HeapAlloc)/1000, "kB")
		runtime.KeepAlive(r)
	}
}
