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

// item is an item of the platform's store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	mutex   sync.Mutex
	items   map[string]item
	history []item
	last    int64
	changed chan struct{}
	// silent makes the store answer nothing.
	silent bool
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), items: map[string]item{}, last: 10, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: text})
}

func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(i item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	i.Revision, i.Created = s.last, s.last
	if old, known := s.items[i.Key]; known {
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

// setSilent starts or ends an outage in which the store accepts connections and answers nothing.
func (s *store) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/kv-key":
		s.mutex.Lock()
		i, known := s.items[r.URL.Query().Get("key")]
		s.mutex.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(i)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(x, y int) bool { return found[x].Key < found[y].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": found, "more-pages": false, "as-of": s.last})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	prefix := r.URL.Query().Get("prefix")
	expired := time.After(time.Duration(millis) * time.Millisecond)
	for over := false; ; {
		s.mutex.Lock()
		events, asOf, changed, silent := []item{}, s.last, s.changed, s.silent
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mutex.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case len(events) > 0 || over:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
