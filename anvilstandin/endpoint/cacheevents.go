package endpoint

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheEventDelay is the time from a cache event to its publication.
	cacheEventDelay = 300 * time.Millisecond
	// cacheEventLossShare is the share of events that are never published.
	cacheEventLossShare = 0.05
	// maxCacheEvents is the number of latest events that can be read.
	maxCacheEvents = 1000
)

// cacheEvent reports that a prompt prefix entered the cache or, if the prefix is
// empty, that the cache was cleared by a crash.
type cacheEvent struct {
	Sequence int `json:"sequence"`
	// Prefix is the hash of the prompt prefix in hexadecimal.
	Prefix string    `json:"prefix,omitempty"`
	At     time.Time `json:"at"`
}

// cacheEventLog publishes cache events with a delay and loses some of them, as
// the event streams of engines do.
type cacheEventLog struct {
	mutex    sync.Mutex
	sequence int
	events   []cacheEvent
}

func (c *cacheEventLog) add(prefix string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sequence++
	if rand.Float64() < cacheEventLossShare {
		return
	}
	prefixHash := ""
	if prefix != "" {
		prefixHash = fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Prefix: prefixHash, At: time.Now()})
	c.events = c.events[max(len(c.events)-maxCacheEvents, 0):]
}

// serveEvents serves the published events with a sequence number above the
// query's "after".
func (c *cacheEventLog) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	published := []cacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && time.Since(e.At) >= cacheEventDelay {
			published = append(published, e)
		}
	}
	writeJSON(w, published)
}
