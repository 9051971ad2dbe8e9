// Package published is a test double of the platform's configuration service.
//
// It stores values with increasing versions, answers reads and long polls, counts the
// calls, and injects faults. Only the operators' pipeline writes to the service; the publish
// command of gladegauge-standin simulates it.
//
// # Usage
//
//	http.Serve(listener, published.New())
package published

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/platform"
)

// Fault is an injected fault of the service.
type Fault string

// Faults of the service.
const (
	None Fault = ""
	// Down answers every call with an error.
	Down Fault = "down"
	// Hang sends no response until the caller gives up.
	Hang Fault = "hang"
	// Truncate returns only the first half of every value.
	Truncate Fault = "truncate"
	// Backwards returns the version before the newest.
	Backwards Fault = "backwards"
)

const (
	maxWait  = time.Minute
	maxValue = 1 << 20
)

type value struct {
	version uint64
	data    []byte
}

// Service is the configuration service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	values  map[string][]value
	version uint64
	changed chan struct{}
	fault   Fault
	calls   int
	mux     *http.ServeMux
}

// New returns a service without values.
func New() *Service {
	s := &Service{
		values:  make(map[string][]value),
		changed: make(chan struct{}),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/values/{name...}", s.get)
	s.mux.HandleFunc("PUT /v1/values/{name...}", s.put)
	s.mux.HandleFunc("PUT /admin/fault", s.setFault)
	s.mux.HandleFunc("GET /admin/calls", s.countCalls)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put publishes a new version of a value and wakes the long polls.
func (s *Service) Put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.values[name] = append(s.values[name], value{version: s.version, data: data})
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault injects a fault; None ends it.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of reads and long polls so far.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("name"), data)
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, 64))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(Fault(text))
}

func (s *Service) countCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

// newest returns the newest value of a name, whether there is one, whether it is newer than
// the version after, a channel that the next change closes, and the current fault. The
// Backwards fault counts its older value as newer.
func (s *Service) newest(name string, after uint64) (v value, known, newer bool, changed <-chan struct{}, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.values[name]
	if len(all) == 0 {
		return value{}, false, false, s.changed, s.fault
	}
	v = all[len(all)-1]
	if s.fault == Backwards && len(all) > 1 {
		v = all[len(all)-2]
	}
	return v, true, v.version > after || s.fault == Backwards, s.changed, s.fault
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	name := r.PathValue("name")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	for {
		v, known, newer, changed, fault := s.newest(name, after)
		if s.injectFault(w, r, fault) {
			return
		}
		if known && newer {
			send(w, v, fault)
			return
		}
		if !known && wait == 0 {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// injectFault fails the request if the fault asks for it. It reports whether it did.
func (s *Service) injectFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case Down:
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return true
	case Hang:
		<-r.Context().Done()
		return true
	case None, Truncate, Backwards:
	}
	return false
}

func send(w http.ResponseWriter, v value, f Fault) {
	data := v.data
	if f == Truncate {
		data = data[:len(data)/2]
	}
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(v.version, 10))
	_, _ = w.Write(data)
}
