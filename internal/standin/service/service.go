// Package service is a test double of a plain service with non-idempotent calls. It counts
// how often it ran each ticket.
//
// # Usage
//
//	http.Serve(listener, service.New(30*time.Millisecond))
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Fault is an injected fault of the service.
type Fault string

// Faults of the service.
const (
	None Fault = ""
	// DropAnswer runs the call and closes the connection without a response.
	DropAnswer Fault = "drop_answer"
	// Hang runs the call and sends no response until the caller gives up.
	Hang Fault = "hang"
)

// Ticket is the body of a call.
type Ticket struct {
	ID string `json:"id"`
}

// Answer is the body of a response.
type Answer struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// Service is the plain service. It is safe for concurrent use.
type Service struct {
	latency time.Duration
	mux     *http.ServeMux

	mu    sync.Mutex
	runs  map[string]int
	fault Fault
}

// New returns a service whose calls take the given latency.
func New(latency time.Duration) *Service {
	s := &Service{latency: latency, runs: make(map[string]int), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Runs()) })
	s.mux.HandleFunc("PUT /admin/fault", func(_ http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(io.LimitReader(r.Body, 64))
		s.SetFault(Fault(text))
	})
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault injects a fault; None ends it.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Runs returns the number of runs of each ticket.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var t Ticket
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || t.ID == "" {
		http.Error(w, "id: must be set", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[t.ID]++
	runs, fault := s.runs[t.ID], s.fault
	s.mu.Unlock()
	timer := time.NewTimer(s.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	switch fault {
	case DropAnswer:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
	case None:
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{ID: t.ID, Runs: runs})
}
