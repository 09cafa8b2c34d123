package placement

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// prefixRetention is how long an endpoint counts as having a prompt's prefix cached after it
	// was last sent there. Endpoints evict the least recently used prefixes; at the load that the
	// product is meant for, an endpoint prefills as much as its memory holds in about that time.
	prefixRetention = 15 * time.Second
	// maxHolders bounds the endpoints that are remembered of one prefix, and maxPrefixes the
	// prefixes.
	maxHolders  = 6
	maxPrefixes = 8192
)

// holder is an endpoint to which a prompt with some prefix was sent.
type holder struct {
	process ident.EndpointProcess
	sentAt  time.Time
}

// prefixes holds where this instance has sent prompts lately, by their prefix. Another process of an
// endpoint holds nothing.
type prefixes struct {
	holders map[string][]holder
}

func newPrefixes() *prefixes { return &prefixes{holders: map[string][]holder{}} }

// record records that a prompt is sent to an endpoint. The holder that got the prefix longest ago
// makes room.
func (x *prefixes) record(now time.Time, prefix string, p ident.EndpointProcess) {
	known, found := x.holders[prefix]
	if prefix == "" || !found && len(x.holders) >= maxPrefixes {
		return
	}
	kept := make([]holder, 0, maxHolders)
	for _, h := range known {
		if h.process != p {
			kept = append(kept, h)
		}
	}
	if len(kept) == maxHolders {
		kept = append(kept[:0], kept[1:]...)
	}
	x.holders[prefix] = append(kept, holder{process: p, sentAt: now})
}

// holds reports whether an endpoint probably has a prefix cached.
func (x *prefixes) holds(now time.Time, prefix string, p ident.EndpointProcess) bool {
	for _, h := range x.holders[prefix] {
		if h.process == p {
			return now.Sub(h.sentAt) < prefixRetention
		}
	}
	return false
}

// expire forgets the prefixes that no endpoint holds any more.
func (x *prefixes) expire(now time.Time) {
	for prefix, known := range x.holders {
		if latest := known[len(known)-1]; now.Sub(latest.sentAt) >= prefixRetention {
			delete(x.holders, prefix)
		}
	}
}
