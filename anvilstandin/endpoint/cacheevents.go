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
	// cacheEventLag is how late a cache event is published.
	cacheEventLag = 300 * time.Millisecond
	// cacheEventGap is the share of events that are never published.
	cacheEventGap = 0.05
	// maxCacheEvents bounds the events that can still be read.
	maxCacheEvents = 1000
)

// cacheEvent tells that a prompt prefix entered the cache, or with an empty
// prefix that the cache was emptied.
type cacheEvent struct {
	Sequence int       `json:"sequence"`
	Prefix   string    `json:"prefix,omitempty"`
	At       time.Time `json:"at"`
}

// cacheEvents publishes late and with gaps, as engines do.
type cacheEvents struct {
	mutex    sync.Mutex
	sequence int
	events   []cacheEvent
}

func (c *cacheEvents) add(prefix string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sequence++
	if rand.Float64() < cacheEventGap {
		return
	}
	name := ""
	if prefix != "" {
		name = fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Prefix: name, At: time.Now()})
	c.events = c.events[max(len(c.events)-maxCacheEvents, 0):]
}

// show serves the events after a sequence number.
func (c *cacheEvents) show(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	published := []cacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && time.Since(e.At) >= cacheEventLag {
			published = append(published, e)
		}
	}
	writeJSON(w, published)
}
