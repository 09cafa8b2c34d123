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

// entryLifetime is how long a worker's entry is kept without a write: three heartbeats.
const entryLifetime = 3 * heartbeatPeriod

// storeItem is an item of the store or, in the history, a change.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mutex     sync.Mutex
	items     map[string]storeItem
	writtenAt map[string]time.Time
	history   []storeItem
	revision  int64
	changed   chan struct{}
	address   string
}

func startStore(ip string) (*store, error) {
	s := &store{items: map[string]storeItem{}, writtenAt: map[string]time.Time{}, revision: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	go s.expire()
	return s, nil
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(storeItem{Key: key, Value: text})
}

func (s *store) remove(key string) { s.change(storeItem{Key: key, Removed: true}) }

func (s *store) change(item storeItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, known := s.items[item.Key]
	if item.Removed && !known {
		return
	}
	s.revision++
	item.Revision, item.Created = s.revision, s.revision
	if known {
		item.Created = old.Created
	}
	if item.Removed {
		delete(s.items, item.Key)
		delete(s.writtenAt, item.Key)
	} else {
		s.items[item.Key] = item
		s.writtenAt[item.Key] = time.Now()
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of workers that have been silent for too long.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mutex.Lock()
		var silent []string
		for key, at := range s.writtenAt {
			if strings.HasPrefix(key, "servers/") && time.Since(at) > entryLifetime {
				silent = append(silent, key)
			}
		}
		s.mutex.Unlock()
		for _, key := range silent {
			s.remove(key)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mutex.Lock()
		item, known := s.items[query.Get("key")]
		asOf := s.revision
		s.mutex.Unlock()
		if !known {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, struct {
			storeItem
			AsOf int64 `json:"as-of"`
		}{item, asOf})
	case "/api/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	const pageItems = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "more-pages": more, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for over := false; ; {
		s.mutex.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
