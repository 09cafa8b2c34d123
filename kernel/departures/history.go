package departures

import (
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

// Change is a change of an endpoint's entry on the platform.
type Change struct {
	Endpoint ident.Endpoint
	// Listing is the entry; nil if it was removed, or cannot be read.
	Listing *endpoints.Listing
	// Created is set if there was no entry before.
	Created bool
}

// firstSequence is the highest sequence number of the first entry of a process.
const firstSequence = 1

// NewProcess returns the process that a listing is about.
func NewProcess(l endpoints.Listing) Process {
	return Process{EndpointProcess: l.Process(), Origin: origin.Origin{Service: l.Service, Version: l.Version}}
}

// ReadHistory returns what changes, in the order of their revisions, tell of processes that left and
// joined. Of a process whose listing is not among the changes, only the name is known.
func ReadHistory(changes []Change) History {
	var h History
	current := map[ident.Endpoint]Process{}
	leave := func(e ident.Endpoint) {
		p, known := current[e]
		if !known {
			p.Endpoint = e
		}
		h.Departures = append(h.Departures, Departure{Process: p, Unidentified: !known, ListedEarly: !known})
		delete(current, e)
	}
	for _, c := range changes {
		if c.Listing == nil {
			leave(c.Endpoint)
			continue
		}
		p := NewProcess(*c.Listing)
		before, known := current[c.Endpoint]
		switch {
		case known && before.EndpointProcess == p.EndpointProcess:
		case known, !c.Created && c.Listing.Sequence <= firstSequence:
			// Another process has started under the name.
			leave(c.Endpoint)
			h.Joined = append(h.Joined, p.EndpointProcess)
		case c.Created:
			h.Joined = append(h.Joined, p.EndpointProcess)
		}
		current[c.Endpoint] = p
	}
	return h
}
