// Package published is a stand-in for the platform's configuration service.
//
// It holds values with rising versions, answers reads and waiting watches,
// counts every call, and can be made to fail. Only the operators' pipeline,
// here the stand-in's publish command, writes to it.
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

// Fault is how the service misbehaves.
type Fault string

// Faults of the service.
const (
	None Fault = ""
	// Down answers every call with an error.
	Down Fault = "down"
	// Hang answers no call until the caller gives up.
	Hang Fault = "hang"
	// Truncate cuts every value in half.
	Truncate Fault = "truncate"
	// Backwards answers with the version before the newest.
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

// Service is the stand-in. It is safe for concurrent use.
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

// ServeHTTP answers a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put publishes a value.
func (s *Service) Put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.values[name] = append(s.values[name], value{version: s.version, data: data})
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault makes the service misbehave.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of reads and watches so far.
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

// newest returns the value above a version, what signals the next change, and
// the fault.
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
		if s.failed(w, r, fault) {
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

// failed answers as the fault says.
func (s *Service) failed(w http.ResponseWriter, r *http.Request, f Fault) bool {
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
