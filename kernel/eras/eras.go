// Package eras keeps what earlier eras of the platform's store said. After the store was restored from
// a copy, it lists what it had then: a configuration that is older than the one in force, and
// endpoints that have left since. Revisions tell the age of content only within an era; between eras,
// a configuration's version does, and an endpoint's start time and sequence number.
package eras

import (
	"maps"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// KnownListing is the latest that the store said of an endpoint in any era.
type KnownListing struct {
	message.CarriedEndpoint
	Revision replica.Revision
	At       time.Time
}

// HeldListing is a listing that is not used yet.
type HeldListing struct {
	Listing  endpoints.Listing
	Revision replica.Revision
	Source   string
	Until    time.Time
}

// Tracker keeps what earlier eras of the store said.
type Tracker struct {
	Known map[ident.Endpoint]KnownListing
	Held  map[ident.Endpoint]HeldListing
	// Configuration is the record of the configuration in force, with the latest
	// revision at which the store had it.
	Configuration replica.Record
	// CarriedAt holds when members were last sent what earlier eras said.
	CarriedAt map[ident.Instance]time.Time
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{Known: map[ident.Endpoint]KnownListing{}, Held: map[ident.Endpoint]HeldListing{}, CarriedAt: map[ident.Instance]time.Time{}}
}

// IsOutdated reports whether a listing of an era would bring back what is known of an
// earlier one to be over: an endpoint that has left, or an earlier process.
func IsOutdated(l endpoints.Listing, era replica.Era, k message.CarriedEndpoint) bool {
	if k.Era >= era || l.StartedUnixMillis > k.StartedUnixMillis {
		return false
	}
	if l.StartedUnixMillis < k.StartedUnixMillis {
		return true
	}
	return l.Sequence <= k.Sequence && (k.Removed || k.Leaving && !l.Leaving)
}

// RecordListing records what the store says of an endpoint at a revision.
func (t *Tracker) RecordListing(now time.Time, l endpoints.Listing, r replica.Revision) {
	delete(t.Held, l.Name)
	t.Known[l.Name] = KnownListing{At: now, Revision: r, CarriedEndpoint: message.CarriedEndpoint{Era: r.Era(), StartedUnixMillis: l.StartedUnixMillis, Sequence: l.Sequence, Leaving: l.Leaving}}
}

// RecordRemoval records that the store has removed an endpoint's entry at a revision.
func (t *Tracker) RecordRemoval(now time.Time, name ident.Endpoint, r replica.Revision) {
	delete(t.Held, name)
	k := t.Known[name]
	k.Era, k.Removed, k.Revision, k.At = r.Era(), true, r, now
	t.Known[name] = k
}

// Expire drops the departures that are older than the retention.
func (t *Tracker) Expire(now time.Time, retention time.Duration) {
	maps.DeleteFunc(t.Known, func(_ ident.Endpoint, k KnownListing) bool { return k.Removed && now.Sub(k.At) > retention })
}

// Carried returns what earlier eras than one said that this one does not replace, or nil if there is
// nothing.
func (t *Tracker) Carried(era replica.Era) *message.Carried {
	c := message.Carried{}
	if r := t.Configuration; r.Key != "" && r.Revision.Era() < era {
		c.Configuration = &r
	}
	for name, k := range t.Known {
		if k.Era < era && (k.Removed || k.Leaving) {
			if c.Endpoints == nil {
				c.Endpoints = map[ident.Endpoint]message.CarriedEndpoint{}
			}
			c.Endpoints[name] = k.CarriedEndpoint
		}
	}
	if c.Configuration == nil && c.Endpoints == nil {
		return nil
	}
	return &c
}
