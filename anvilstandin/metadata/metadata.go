// Package metadata plays the metadata store of the users' platform by its
// published protocol: items can be read, listed and watched, and every change
// has a revision.
package metadata

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items in one page; the users' store has about 500.
const maxPage = 20

// Item is one entry of the store.
type Item struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        int64  `json:"revision"`
	CreatedRevision int64  `json:"created,omitempty"`
	Lease           int64  `json:"lease"`
	Removed         bool   `json:"removed,omitempty"`
}

// Store keeps items and their history.
type Store struct {
	mutex    sync.Mutex
	items    map[string]Item
	history  []Item
	oldest   int64
	revision int64
	changed  chan struct{}
	down     bool
	calls    int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, revision: 1, changed: make(chan struct{})}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) { s.change(Item{Key: key, Value: value}) }

// Remove deletes an item.
func (s *Store) Remove(key string) { s.change(Item{Key: key, Removed: true}) }

func (s *Store) change(item Item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	item.Revision = s.revision
	item.CreatedRevision = item.Revision
	if old, ok := s.items[item.Key]; ok {
		item.CreatedRevision = old.CreatedRevision
	}
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes every call fail, or ends that.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.oldest = s.revision
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ServeHTTP serves the reading calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	down := s.down
	s.mutex.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.key(w, r)
	case "/api/kv-range":
		s.list(w, r)
	case "/api/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	answer(w, struct {
		Item
		AsOf int64 `json:"as-of"`
	}{item, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items []Item `json:"items"`
		More  bool   `json:"more-pages"`
		AsOf  int64  `json:"as-of"`
	}{Items: []Item{}, AsOf: s.revision}
	for _, key := range keys {
		if len(page.Items) == maxPage {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	answer(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || wait < 0 || wait > 30_000 {
		http.Error(w, "wait-ms is not a time", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, changed, gone := s.since(r.URL.Query().Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, watched{events, asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, watched{[]Item{}, asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type watched struct {
	Events []Item `json:"events"`
	AsOf   int64  `json:"as-of"`
}

func (s *Store) since(prefix string, after int64) (events []Item, asOf int64, changed chan struct{}, gone bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, after < s.oldest
}
