// Package metadata simulates the metadata store of the users' platform by its
// published protocol: items can be read, listed and watched, and every change
// gets a revision.
package metadata

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the largest number of items in one page of a listing; a page of
// the users' store holds about 500.
const maxPageItems = 20

// Item is a key and its value, or in the history the removal of a key.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is that of the last change of the item, CreatedRevision that of
	// its first.
	Revision        int64 `json:"revision"`
	CreatedRevision int64 `json:"created,omitempty"`
	Lease           int64 `json:"lease"`
	Removed         bool  `json:"removed,omitempty"`
}

// Store holds items and the history of their changes.
type Store struct {
	mutex   sync.Mutex
	items   map[string]Item
	history []Item
	// droppedUpTo is the last revision that the history no longer holds.
	droppedUpTo int64
	revision    int64
	// changed is closed and replaced at each change and by SetDown, to wake watches.
	changed chan struct{}
	down    bool
	calls   int
	// era counts the restores. Revisions of different eras are not comparable.
	era int64
}

// Copy is a copy of a store's items and history, from which it can be restored.
type Copy struct {
	items       map[string]Item
	history     []Item
	droppedUpTo int64
	revision    int64
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), droppedUpTo: s.droppedUpTo, revision: s.revision}
}

// Restore replaces what the store has with a copy. Later changes are lost, and their
// revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.droppedUpTo, s.revision = c.droppedUpTo, c.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, revision: 1, changed: make(chan struct{})}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) { s.applyChange(Item{Key: key, Value: value}) }

// Remove deletes an item.
func (s *Store) Remove(key string) { s.applyChange(Item{Key: key, Removed: true}) }

func (s *Store) applyChange(item Item) {
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

// SetDown makes all calls fail, or work again.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops all changes so far from the history: a watch from an earlier
// revision gets the status 410 Gone.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.droppedUpTo = s.revision
}

// CallCount returns the number of calls so far, failed ones included.
func (s *Store) CallCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ServeHTTP serves reads, listings and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mutex.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveItem(w, r)
	case "/api/kv-range":
		s.servePage(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveItem(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		Item
		AsOf int64 `json:"as-of"`
	}{item, s.revision})
}

// servePage serves one page of the items with a prefix, from the first key above
// "after".
func (s *Store) servePage(w http.ResponseWriter, r *http.Request) {
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
		if len(page.Items) == maxPageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

// serveWatch serves the changes after a revision, or waits for the next one.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitMillis < 0 || waitMillis > 30_000 {
		http.Error(w, "wait-ms is not a time", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		events, asOf, changed, dropped := s.changesAfter(r.URL.Query().Get("prefix"), after)
		if dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, watchResponse{events, asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, watchResponse{[]Item{}, asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type watchResponse struct {
	Events []Item `json:"events"`
	AsOf   int64  `json:"as-of"`
}

// changesAfter returns the changes of items with a prefix after a revision, the
// store's revision, a channel that the next change closes, and whether the history
// does not have the revision.
func (s *Store) changesAfter(prefix string, after int64) (events []Item, asOf int64, changed chan struct{}, dropped bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, after < s.droppedUpTo || after > s.revision
}
