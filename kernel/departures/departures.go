// Package departures remembers which processes of endpoints have lately left the platform's listing,
// and since when it knows of all of them. A process that is listed no more cannot be asked what it
// has done: whoever draws a conclusion from what the listed ones say has to rule it out.
package departures

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

// Process is a process of an endpoint, listed or not.
type Process struct {
	ident.EndpointProcess
	origin.Origin
}

// Departure is a process that has left.
type Departure struct {
	Process
	// Unidentified is set if only the endpoint's name is known.
	Unidentified bool
	// ListedEarly is set if the process was listed before all those that Joined names.
	ListedEarly bool
	// At is when it was seen to have left, which may be later than it did.
	At time.Time
}

// History is what the platform's history tells.
type History struct {
	// Since is the time from which on the history tells all departures, up to the first list of
	// the instance.
	Since time.Time
	// Departures and Joined are the processes that left and joined, in the order of the history.
	Departures []Departure
	Joined     []ident.EndpointProcess
}

// Config sets up a Table.
type Config struct {
	// Retention is how long a departure is remembered.
	Retention time.Duration
}

// Table holds departures.
type Table struct {
	config     Config
	departures []Departure
	// listedAt is the time of this instance's first list, knownSince that from which on it knows
	// all departures; zero before the first list.
	listedAt, knownSince time.Time
	// joined are the processes that the history tells to have joined.
	joined map[ident.EndpointProcess]time.Time
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	return &Table{config: c, joined: map[ident.EndpointProcess]time.Time{}}
}

// Begin records that the instance has the list of all endpoints. Only the first call counts.
func (t *Table) Begin(now time.Time) {
	if t.listedAt.IsZero() {
		t.listedAt, t.knownSince = now, now
	}
}

// Begun reports whether the instance has had the list of all endpoints.
func (t *Table) Begun() bool { return !t.listedAt.IsZero() }

// KnowsSince reports whether all departures since a time are known.
func (t *Table) KnowsSince(at time.Time) bool {
	return t.Begun() && !t.knownSince.After(at)
}

// Record records a process that is not listed any more.
func (t *Table) Record(now time.Time, p Process) {
	t.departures = append(t.departures, Departure{Process: p, At: now})
}

// RecordUnidentified records that an endpoint has left of which no listing was known.
func (t *Table) RecordUnidentified(now time.Time, e ident.Endpoint) {
	t.departures = append(t.departures, Departure{Process: Process{EndpointProcess: ident.EndpointProcess{Endpoint: e}}, Unidentified: true, At: now})
}

// AddHistory adds what the history tells of the time before the instance's first list. The times of
// its departures are not known: each counts as having left right before that list.
func (t *Table) AddHistory(now time.Time, h History) {
	for _, d := range h.Departures {
		d.At = t.listedAt
		t.departures = append(t.departures, d)
	}
	for _, p := range h.Joined {
		t.joined[p] = now
	}
	if h.Since.Before(t.knownSince) {
		t.knownSince = h.Since
	}
}

// MayHaveLeft reports whether a process of another origin may have left some services since a time,
// given the processes that are listed. A process that left unidentified is taken for one of the
// origins that processes of the service had at that time.
func (t *Table) MayHaveLeft(since time.Time, o origin.Origin, services []ident.Service, listed []Process) bool {
	if !t.KnowsSince(since) {
		return true
	}
	isListed := func(d Departure) bool {
		return slices.ContainsFunc(listed, func(p Process) bool { return p.EndpointProcess == d.EndpointProcess })
	}
	for _, d := range t.departures {
		switch {
		case d.At.Before(since):
		case d.Unidentified:
			if !t.onlyOrigin(o, d.ListedEarly, listed) {
				return true
			}
		case slices.Contains(services, d.Service) && d.Origin != o && !isListed(d):
			return true
		}
	}
	return false
}

// onlyOrigin reports whether all processes of a service, listed or not, have one origin. early
// leaves out those that joined later than what the history begins with.
func (t *Table) onlyOrigin(o origin.Origin, early bool, listed []Process) bool {
	found := false
	differs := func(p Process) bool {
		_, joined := t.joined[p.EndpointProcess]
		if p.Service != o.Service || early && joined {
			return false
		}
		found = true
		return p.Origin != o
	}
	if slices.ContainsFunc(listed, differs) {
		return false
	}
	if slices.ContainsFunc(t.departures, func(d Departure) bool { return !d.Unidentified && differs(d.Process) }) {
		return false
	}
	return found
}

// Expire drops what is older than the retention.
func (t *Table) Expire(now time.Time) {
	oldest := now.Add(-t.config.Retention)
	t.departures = slices.DeleteFunc(t.departures, func(d Departure) bool { return d.At.Before(oldest) })
	for p, at := range t.joined {
		if at.Before(oldest) {
			delete(t.joined, p)
		}
	}
	if t.Begun() && t.knownSince.Before(oldest) {
		t.knownSince = oldest
	}
}

// Count returns the number of departures and joined processes that are remembered.
func (t *Table) Count() int { return len(t.departures) + len(t.joined) }
