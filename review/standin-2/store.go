//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_at,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store plays the platform's metadata store: linearizable reads by pages, and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

const pageItems = 500

func newStore() *store {
	l := listen()
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-range", s.serveRange)
	mux.HandleFunc("/api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// put writes an entry and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if held, ok := s.items[key]; ok {
		it.Created = held.Created
	}
	s.items[key] = it
	s.add(it)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.revision++
		s.add(item{Key: key, Revision: s.revision, Removed: true})
	}
	return time.Now()
}

func (s *store) add(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("path_prefix"), q.Get("since_rev")
	s.mu.Lock()
	var list []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	writeJSON(w, map[string]any{"items": list, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []item
		for _, it := range s.history {
			if it.Revision > since && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
