package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	address  string
	mutex    sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes an item as JSON.
func (s *store) put(key string, v any) {
	value, err := json.Marshal(v)
	must(err)
	s.change(item{Key: key, Value: value})
}

// remove removes an item.
func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	more := len(found) > 500
	_ = json.NewEncoder(w).Encode(map[string]any{"items": found[:min(len(found), 500)], "more-pages": more, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// entry is the entry of a worker.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold-remaining-ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}
