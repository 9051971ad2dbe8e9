//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// nextID numbers the client attempts of a case.
var nextID atomic.Int64

func newID() string { return fmt.Sprintf("a%015x", nextID.Add(1)) }

// attempt is one client attempt and what the client got.
type attempt struct {
	at, ended    time.Time
	id, method   string
	path         string
	gateway      string
	status       int
	seal, notRun string
	retryAfter   string
	body         string
	err          error
}

// client sends requests to one gateway over kept connections.
type client struct {
	gateway *gateway
	key     string
	http    *http.Client
}

func newClient(g *gateway, key string) *client {
	d := &net.Dialer{Timeout: time.Second}
	return &client{gateway: g, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends one request with a deadline. A request is an attempt of its own.
func (c *client) send(method, path string, body []byte, deadline time.Duration, header ...string) attempt {
	a := attempt{at: time.Now(), id: newID(), method: method, path: path, gateway: c.gateway.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.callers+path, bytes.NewReader(body))
	if err != nil {
		fatal("request: %v", err)
	}
	req.Host = "app.example"
	req.Header.Set(headerID, a.id)
	req.Header.Set("X-Gladegauge-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Gladegauge-Key", c.key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.status, a.seal, a.notRun = resp.StatusCode, resp.Header.Get(headerSeal), resp.Header.Get(headerNotRun)
	a.retryAfter, a.body, a.err, a.ended = resp.Header.Get("Retry-After"), string(data), err, time.Now()
	return a
}

// all writes every client attempt and every run to the record.
func (r *record) all(attempts []attempt, ran *events) {
	for _, a := range attempts {
		r.line("sent at %.3f s: %s %s %s to %s; answered at %.3f s: %d seal %q retry-after %q %q %v", a.at.Sub(r.began).Seconds(), a.id, a.method, a.path, a.gateway,
			a.ended.Sub(r.began).Seconds(), a.status, a.seal, a.retryAfter, a.body, a.err)
	}
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for _, e := range ran.list {
		r.line("at %.3f s: %s %s %s %s", e.At.Sub(r.began).Seconds(), e.Replica, e.What, e.ID, e.URI)
	}
}
