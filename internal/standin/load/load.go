// Package load sends a bounded mix of requests and checks every answer.
//
// # Usage
//
//	report := load.Run(ctx, load.Options{Entries: urls, Deployment: load.Salish(), Duration: 10 * time.Second})
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/standin/engine"
	"github.com/gladegauge/gladegauge/internal/standin/service"
)

// Kind is one class of requests in a mix.
type Kind struct {
	Class string
	// Target is a model, or a plain service.
	Target  string
	Service bool
	// PerSecond is the rate over all organisations.
	PerSecond float64
	Tokens    int
	Streamed  bool
	// FirstToken or Completion is the latency target.
	FirstToken time.Duration
	Completion time.Duration
}

// Deployment is the mix of one user.
type Deployment struct {
	Name  string
	Keys  []string
	Kinds []Kind
}

// Tallowbark returns the mix of the carrier deployment.
func Tallowbark() Deployment {
	return Deployment{
		Name: "tallowbark",
		Keys: []string{"demo-tallowbark-coast-mobile", "demo-tallowbark-gympie-sims", "demo-tallowbark-noosa-connect"},
		Kinds: []Kind{
			{Class: "counter", Target: "carrier-assist", PerSecond: 5, Tokens: 20, Streamed: true, FirstToken: 1500 * time.Millisecond},
			{Class: "kiosk", Target: "carrier-assist", PerSecond: 5, Tokens: 12, FirstToken: 1500 * time.Millisecond},
			{Class: "overnight", Target: "carrier-assist", PerSecond: 2, Tokens: 80, Streamed: true, Completion: 10 * time.Minute},
			{Class: "activation", Target: "activation-service", Service: true, PerSecond: 6, Completion: 2 * time.Second},
		},
	}
}

// Salish returns the mix of the tournament deployment.
func Salish() Deployment {
	return Deployment{
		Name: "salish",
		Keys: []string{"demo-salish-van-hall", "demo-salish-hope-tables", "demo-salish-delta-juniors"},
		Kinds: []Kind{
			{Class: "ruling", Target: "judge", PerSecond: 5, Tokens: 25, Streamed: true, FirstToken: 1500 * time.Millisecond},
			{Class: "decklist", Target: "judge", PerSecond: 4, Tokens: 16, FirstToken: 4 * time.Second},
			{Class: "event-report", Target: "judge", PerSecond: 2, Tokens: 80, Completion: 10 * time.Minute},
			{Class: "registration", Target: "player-app", Service: true, PerSecond: 6, Completion: 2 * time.Second},
			{Class: "standings", Target: "player-app", Service: true, PerSecond: 3, Completion: 3 * time.Second},
		},
	}
}

// Options are the settings of a run.
type Options struct {
	Entries    []string
	Deployment Deployment
	Duration   time.Duration
	// Scale multiplies the rates; 0 means 1.
	Scale float64
	Seed  uint64
	HTTP  *http.Client
}

// Run sends the mix for the duration and waits for all answers.
func Run(ctx context.Context, o Options) *Report {
	rep := newReport(o.Deployment)
	if o.Scale == 0 {
		o.Scale = 1
	}
	var group errgroup.Group
	for i, k := range o.Deployment.Kinds {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i))) //nolint:gosec // A fixed seed is the point.
		group.Go(func() error {
			sendKind(ctx, &o, k, rng, rep)
			return nil
		})
	}
	_ = group.Wait()
	return rep
}

// sendKind sends one class's requests at random times.
func sendKind(ctx context.Context, o *Options, k Kind, rng *rand.Rand, rep *Report) {
	var group errgroup.Group
	end := time.Now().Add(o.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		gap := time.Duration(rng.ExpFloat64() / (k.PerSecond * o.Scale) * float64(time.Second))
		t := time.NewTimer(gap)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		one := shot{
			kind:  k,
			id:    fmt.Sprintf("%s-%s-%d-%d", o.Deployment.Name, k.Class, o.Seed, n),
			entry: o.Entries[rng.IntN(len(o.Entries))],
			key:   o.Deployment.Keys[rng.IntN(len(o.Deployment.Keys))],
			http:  o.HTTP,
		}
		group.Go(func() error {
			rep.add(one.fire(ctx))
			return nil
		})
	}
	_ = group.Wait()
}

// shot is one request.
type shot struct {
	kind  Kind
	id    string
	entry string
	key   string
	http  *http.Client
}

// result is what became of a shot.
type result struct {
	class     string
	completed bool
	notRun    bool
	unknown   bool
	met       bool
	first     time.Duration
	// wrong says what broke a promise, such as another's answer.
	wrong string
}

func (s *shot) fire(ctx context.Context) result {
	res := result{class: s.kind.Class}
	start := time.Now()
	resp, err := s.http.Do(s.request(ctx))
	if err != nil {
		res.unknown = true
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(res, resp)
	}
	text, first, err := s.read(resp, start)
	if err != nil {
		res.unknown = true
		return res
	}
	res.completed = true
	res.first = first
	res.met = s.met(first, time.Since(start))
	if want := s.want(); text != want {
		res.wrong = fmt.Sprintf("%s: answer %q is not %q", s.id, text, want)
	}
	return res
}

func (s *shot) met(first, whole time.Duration) bool {
	if s.kind.FirstToken > 0 {
		return first <= s.kind.FirstToken
	}
	return whole <= s.kind.Completion
}

func refused(res result, resp *http.Response) result {
	var body struct {
		Error struct {
			Code           string `json:"code"`
			NotRun         bool   `json:"not_run"`
			OutcomeUnknown bool   `json:"outcome_unknown"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		res.wrong = "an error that is not JSON: " + resp.Status
		return res
	}
	res.notRun = body.Error.NotRun
	res.unknown = !body.Error.NotRun
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		res.wrong = "unexpected " + body.Error.Code
	}
	return res
}

func (s *shot) prompt() string { return "request " + s.id }

func (s *shot) want() string {
	if s.kind.Service {
		return s.id
	}
	return strings.Join(engine.Answer(s.prompt()+"\n", s.kind.Tokens), "")
}

func (s *shot) request(ctx context.Context) *http.Request {
	path, body := "/v1/chat/completions", any(map[string]any{
		"model": s.kind.Target, "stream": s.kind.Streamed, "max_tokens": s.kind.Tokens,
		"messages": []map[string]string{{"role": "user", "content": s.prompt()}},
	})
	if s.kind.Service {
		path, body = "/services/"+s.kind.Target+"/tickets", service.Ticket{ID: s.id}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.entry+path, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("X-Gladegauge-Class", s.kind.Class)
	req.Header.Set("Content-Type", "application/json")
	return req
}

func (s *shot) read(resp *http.Response, start time.Time) (string, time.Duration, error) {
	switch {
	case s.kind.Service:
		var a service.Answer
		err := json.NewDecoder(resp.Body).Decode(&a)
		return a.ID, time.Since(start), err
	case s.kind.Streamed:
		return readStream(resp.Body, start)
	default:
		var a struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		err := json.NewDecoder(resp.Body).Decode(&a)
		if err != nil || len(a.Choices) != 1 {
			return "", 0, fmt.Errorf("answer: %w", err)
		}
		return a.Choices[0].Message.Content, time.Since(start), nil
	}
}

func readStream(body io.Reader, start time.Time) (string, time.Duration, error) {
	var text strings.Builder
	var first time.Duration
	r := bufio.NewScanner(body)
	for r.Scan() {
		data, ok := strings.CutPrefix(r.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), first, nil
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", 0, err
		}
		if first == 0 {
			first = time.Since(start)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", 0, io.ErrUnexpectedEOF
}

// Report counts the results of a run by class. It is safe for concurrent use.
type Report struct {
	mu      sync.Mutex
	order   []string
	classes map[string]*counts
	Wrong   []string
}

type counts struct {
	sent, completed, notRun, unknown, met int
	firsts                                []time.Duration
}

func newReport(d Deployment) *Report {
	r := &Report{classes: make(map[string]*counts)}
	for _, k := range d.Kinds {
		r.order = append(r.order, k.Class)
		r.classes[k.Class] = &counts{}
	}
	return r
}

func (r *Report) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[res.class]
	c.sent++
	if res.wrong != "" {
		r.Wrong = append(r.Wrong, res.wrong)
	}
	switch {
	case res.completed:
		c.completed++
		c.firsts = append(c.firsts, res.first)
		if res.met {
			c.met++
		}
	case res.notRun:
		c.notRun++
	default:
		c.unknown++
	}
}

// RunTwice returns the tickets that a plain service ran more than once.
func RunTwice(ctx context.Context, serviceURL string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, serviceURL+"/admin/runs", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	runs := make(map[string]int)
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		return nil, err
	}
	var twice []string
	for id, n := range runs {
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	slices.Sort(twice)
	return twice, nil
}
