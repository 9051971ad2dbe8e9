// Package load is a load generator that sends a mix of requests for a limited time and
// checks every response.
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

// Workload describes the requests of one class in a mix.
type Workload struct {
	Class string
	// Target is the name of a model or, if Service is set, of a plain service.
	Target  string
	Service bool
	// PerSecond is the request rate over all organisations.
	PerSecond float64
	Tokens    int
	Streamed  bool
	// FirstToken and Completion are latency targets. Completion applies if FirstToken is 0.
	FirstToken time.Duration
	Completion time.Duration
}

// Deployment is the request mix of one example deployment.
type Deployment struct {
	Name      string
	Keys      []string
	Workloads []Workload
}

// Tallowbark returns the request mix of the carrier deployment.
func Tallowbark() Deployment {
	return Deployment{
		Name: "tallowbark",
		Keys: []string{"demo-tallowbark-coast-mobile", "demo-tallowbark-gympie-sims", "demo-tallowbark-noosa-connect"},
		Workloads: []Workload{
			{Class: "counter", Target: "carrier-assist", PerSecond: 5, Tokens: 20, Streamed: true, FirstToken: 1500 * time.Millisecond},
			{Class: "kiosk", Target: "carrier-assist", PerSecond: 5, Tokens: 12, FirstToken: 1500 * time.Millisecond},
			{Class: "overnight", Target: "carrier-assist", PerSecond: 2, Tokens: 80, Streamed: true, Completion: 10 * time.Minute},
			{Class: "activation", Target: "activation-service", Service: true, PerSecond: 6, Completion: 2 * time.Second},
		},
	}
}

// Salish returns the request mix of the tournament deployment.
func Salish() Deployment {
	return Deployment{
		Name: "salish",
		Keys: []string{"demo-salish-van-hall", "demo-salish-hope-tables", "demo-salish-delta-juniors"},
		Workloads: []Workload{
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

// Run sends the mix for the duration and waits for all responses.
func Run(ctx context.Context, o Options) *Report {
	rep := newReport(o.Deployment)
	if o.Scale == 0 {
		o.Scale = 1
	}
	var group errgroup.Group
	for i, w := range o.Deployment.Workloads {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i))) //nolint:gosec // The sequence must be reproducible.
		group.Go(func() error {
			sendWorkload(ctx, &o, w, rng, rep)
			return nil
		})
	}
	_ = group.Wait()
	return rep
}

// sendWorkload sends the requests of one class as a Poisson process, without waiting for
// earlier responses.
func sendWorkload(ctx context.Context, o *Options, w Workload, rng *rand.Rand, rep *Report) {
	var group errgroup.Group
	end := time.Now().Add(o.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		gap := time.Duration(rng.ExpFloat64() / (w.PerSecond * o.Scale) * float64(time.Second))
		t := time.NewTimer(gap)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		tr := testRequest{
			workload: w,
			id:       fmt.Sprintf("%s-%s-%d-%d", o.Deployment.Name, w.Class, o.Seed, n),
			entry:    o.Entries[rng.IntN(len(o.Entries))],
			key:      o.Deployment.Keys[rng.IntN(len(o.Deployment.Keys))],
			http:     o.HTTP,
		}
		group.Go(func() error {
			rep.add(tr.send(ctx))
			return nil
		})
	}
	_ = group.Wait()
}

// testRequest is one request of a workload.
type testRequest struct {
	workload Workload
	id       string
	entry    string
	key      string
	http     *http.Client
}

// result is the outcome of a request.
type result struct {
	class      string
	completed  bool
	notRun     bool
	unknown    bool
	metTarget  bool
	firstToken time.Duration
	// violation describes a violated guarantee, such as a response to another request.
	violation string
}

func (t *testRequest) send(ctx context.Context) result {
	res := result{class: t.workload.Class}
	start := time.Now()
	resp, err := t.http.Do(t.request(ctx))
	if err != nil {
		res.unknown = true
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorResult(res, resp)
	}
	text, firstToken, err := t.read(resp, start)
	if err != nil {
		res.unknown = true
		return res
	}
	res.completed = true
	res.firstToken = firstToken
	res.metTarget = t.metTarget(firstToken, time.Since(start))
	if want := t.want(); text != want {
		res.violation = fmt.Sprintf("%s: got answer %q, want %q", t.id, text, want)
	}
	return res
}

func (t *testRequest) metTarget(firstToken, total time.Duration) bool {
	if t.workload.FirstToken > 0 {
		return firstToken <= t.workload.FirstToken
	}
	return total <= t.workload.Completion
}

func errorResult(res result, resp *http.Response) result {
	var body struct {
		Error struct {
			Code           string `json:"code"`
			NotRun         bool   `json:"not_run"`
			OutcomeUnknown bool   `json:"outcome_unknown"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		res.violation = "error response is not JSON: " + resp.Status
		return res
	}
	res.notRun = body.Error.NotRun
	res.unknown = !body.Error.NotRun
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		res.violation = "unexpected " + body.Error.Code
	}
	return res
}

func (t *testRequest) prompt() string { return "request " + t.id }

func (t *testRequest) want() string {
	if t.workload.Service {
		return t.id
	}
	return strings.Join(engine.Answer(t.prompt()+"\n", t.workload.Tokens), "")
}

func (t *testRequest) request(ctx context.Context) *http.Request {
	path, body := "/v1/chat/completions", any(map[string]any{
		"model": t.workload.Target, "stream": t.workload.Streamed, "max_tokens": t.workload.Tokens,
		"messages": []map[string]string{{"role": "user", "content": t.prompt()}},
	})
	if t.workload.Service {
		path, body = "/services/"+t.workload.Target+"/tickets", service.Ticket{ID: t.id}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.entry+path, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	req.Header.Set("X-Gladegauge-Class", t.workload.Class)
	req.Header.Set("Content-Type", "application/json")
	return req
}

func (t *testRequest) read(resp *http.Response, start time.Time) (string, time.Duration, error) {
	switch {
	case t.workload.Service:
		var a service.Answer
		err := json.NewDecoder(resp.Body).Decode(&a)
		return a.ID, time.Since(start), err
	case t.workload.Streamed:
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
	var firstToken time.Duration
	r := bufio.NewScanner(body)
	for r.Scan() {
		data, ok := strings.CutPrefix(r.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), firstToken, nil
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
		if firstToken == 0 {
			firstToken = time.Since(start)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", 0, io.ErrUnexpectedEOF
}

// Report counts the results of a run by class. It is safe for concurrent use.
type Report struct {
	mu         sync.Mutex
	order      []string
	classes    map[string]*counts
	Violations []string
}

type counts struct {
	sent, completed, notRun, unknown, metTarget int
	firstTokens                                 []time.Duration
}

func newReport(d Deployment) *Report {
	r := &Report{classes: make(map[string]*counts)}
	for _, w := range d.Workloads {
		r.order = append(r.order, w.Class)
		r.classes[w.Class] = &counts{}
	}
	return r
}

func (r *Report) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[res.class]
	c.sent++
	if res.violation != "" {
		r.Violations = append(r.Violations, res.violation)
	}
	switch {
	case res.completed:
		c.completed++
		c.firstTokens = append(c.firstTokens, res.firstToken)
		if res.metTarget {
			c.metTarget++
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
