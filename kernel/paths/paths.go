// Package paths tracks to which services an instance has no path: connections to their
// endpoints fail from here, whatever the endpoints do. It tells a lost path from endpoints
// that have crashed by connecting to several of them.
package paths

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// flapWindow is the time after a path has come back within which another loss makes
	// the next return need twice as many connections in a row, at most maxConnections.
	flapWindow     = 10 * time.Second
	maxConnections = 8
	// soundTime is the time after a check that has found the path to be there within which
	// no other one begins, since connections may be what endpoints in trouble lack.
	soundTime = time.Second
	// maxCheckTime is the time after which a check without all of its results is dropped.
	maxCheckTime = 3 * time.Second
)

// Result is the outcome of connecting to an endpoint.
type Result int

// The results.
const (
	// Accepted means that the endpoint accepted the connection.
	Accepted Result = iota
	// Refused means that no process listens at the address.
	Refused
	// Silent means that there was no reply in time.
	Silent
)

// Change is what a result changes.
type Change int

// The changes.
const (
	// None means that the result decides nothing.
	None Change = iota
	// Sound means that a check has found the path to be there.
	Sound
	// Unsure means that none of the endpoints that were asked has accepted, so that Widen
	// has to be called.
	Unsure
	// Lost means that the path to the service is lost.
	Lost
	// Restored means that it is back.
	Restored
)

// check is a check of the path to a service by connecting to some of its endpoints.
type check struct {
	begunAt time.Time
	asked   value.Set[ident.Endpoint]
	pending value.Set[ident.Endpoint]
	refused []ident.Endpoint
	sound   bool
	// widened is set once all endpoints are asked.
	widened bool
}

// service is the state of the path to one service.
type service struct {
	lost       bool
	restoredAt time.Time
	// needed is the number of connections in a row that a lost path needs to count as
	// back, and connected the number that there have been.
	needed    int
	connected int
	// soundAt is when a check last found the path to be there.
	soundAt time.Time
	// check is nil if none is running.
	check *check
}

// Table holds the state of the paths to all services. It is not safe for concurrent use.
type Table struct {
	services map[ident.Service]*service
	// asked holds the endpoints whose results are due, with the services that they had
	// when they were asked.
	asked map[ident.Endpoint]ident.Service
}

// NewTable returns a table in which no path is lost.
func NewTable() *Table {
	return &Table{services: map[ident.Service]*service{}, asked: map[ident.Endpoint]ident.Service{}}
}

func (t *Table) service(name ident.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// Lost reports whether the path to a service is lost.
func (t *Table) Lost(name ident.Service) bool { s := t.services[name]; return s != nil && s.lost }

// Checking reports whether a check of the path to a service is running that has not found
// it to be there.
func (t *Table) Checking(name ident.Service) bool {
	s := t.services[name]
	return s != nil && s.check != nil && !s.check.sound
}

// LostServices returns the services to which the path is lost, sorted, or nil.
func (t *Table) LostServices() []ident.Service {
	var lost []ident.Service
	for name, s := range t.services {
		if s.lost {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Begin begins a check of the path to a service by connecting to the given endpoints. If one
// is running, the first endpoint is added to it. It returns those to connect to; none while
// the path is lost, nor soon after it was there, unless the first endpoint may have crashed.
// The result of each has to be passed to Record.
func (t *Table) Begin(now time.Time, name ident.Service, endpoints []ident.Endpoint, mayHaveCrashed bool) []ident.Endpoint {
	s := t.service(name)
	switch {
	case s.lost || len(endpoints) == 0 || s.check == nil && !mayHaveCrashed && now.Sub(s.soundAt) < soundTime:
		return nil
	case s.check != nil:
		// It may have answered before it failed.
		delete(s.check.asked, endpoints[0])
		return t.ask(name, s.check, endpoints[:1])
	}
	c := &check{begunAt: now, asked: value.NewSet[ident.Endpoint](), pending: value.NewSet[ident.Endpoint]()}
	ask := t.ask(name, c, endpoints)
	if len(ask) > 0 {
		s.check = c
	}
	return ask
}

// ask adds endpoints to a check and returns those to connect to: not those that it has or
// whose results are due elsewhere.
func (t *Table) ask(name ident.Service, c *check, endpoints []ident.Endpoint) []ident.Endpoint {
	var ask []ident.Endpoint
	for _, e := range endpoints {
		if _, due := t.asked[e]; due || c.asked.Has(e) {
			continue
		}
		ask = append(ask, e)
		c.asked.Add(e)
		c.pending.Add(e)
		t.asked[e] = name
	}
	return ask
}

// Widen asks further endpoints in a check in which all have failed so far: several may have
// crashed at once. It returns those to connect to; if there are none, the path is lost.
func (t *Table) Widen(now time.Time, name ident.Service, endpoints []ident.Endpoint) (ask []ident.Endpoint, lost bool) {
	s := t.service(name)
	if s.check == nil {
		return nil, false
	}
	s.check.widened = true
	ask = t.ask(name, s.check, endpoints)
	if len(ask) == 0 {
		s.lose(now)
	}
	return ask, len(ask) == 0
}

// Expire drops the checks of which results have not come, and returns their services.
func (t *Table) Expire(now time.Time) []ident.Service {
	var expired []ident.Service
	for name, s := range t.services {
		if s.check == nil || now.Sub(s.check.begunAt) <= maxCheckTime {
			continue
		}
		for e := range s.check.pending {
			delete(t.asked, e)
		}
		s.check = nil
		expired = append(expired, name)
	}
	slices.Sort(expired)
	return expired
}

// Probe notes that an endpoint is asked to find out whether the lost path to its service is
// back. It reports false if its last result is still due.
func (t *Table) Probe(name ident.Service, e ident.Endpoint) bool {
	if _, due := t.asked[e]; due {
		return false
	}
	t.asked[e] = name
	return true
}

// Record records the result of connecting to an endpoint, and returns what that changes for
// which service. It also returns the endpoints that refuse connections while the path to them
// is there: their processes have ended.
func (t *Table) Record(now time.Time, e ident.Endpoint, r Result) (ident.Service, Change, []ident.Endpoint) {
	name, due := t.asked[e]
	if !due {
		return "", None, nil
	}
	delete(t.asked, e)
	change, ended := t.service(name).record(now, e, r)
	return name, change, ended
}

func (s *service) record(now time.Time, e ident.Endpoint, r Result) (Change, []ident.Endpoint) {
	switch {
	case s.lost:
		return s.recordProbe(now, r), nil
	case s.check == nil || !s.check.pending.Has(e):
		return None, nil
	}
	c := s.check
	delete(c.pending, e)
	change := None
	switch r {
	case Accepted:
		if !c.sound {
			c.sound, change, s.soundAt = true, Sound, now
		}
	case Refused:
		c.refused = append(c.refused, e)
	}
	switch {
	case len(c.pending) == 0 && c.sound:
		s.check = nil
	case len(c.pending) == 0 && c.widened:
		s.lose(now)
		return Lost, nil
	case len(c.pending) == 0:
		return Unsure, nil
	case !c.sound:
		return None, nil
	}
	ended := c.refused
	c.refused = nil
	return change, ended
}

// lose records that the path is lost.
func (s *service) lose(now time.Time) {
	s.lost, s.connected, s.check = true, 0, nil
	if s.needed == 0 || now.Sub(s.restoredAt) > flapWindow {
		s.needed = 1
		return
	}
	s.needed = min(2*s.needed, maxConnections)
}

// recordProbe records the result of a connection on a lost path.
func (s *service) recordProbe(now time.Time, r Result) Change {
	if r != Accepted {
		s.connected = 0
		return None
	}
	s.connected++
	if s.connected < s.needed {
		return None
	}
	s.lost, s.restoredAt = false, now
	return Restored
}

// Forget forgets the state of services that are not among the given ones.
func (t *Table) Forget(known func(ident.Service) bool) {
	for name := range t.services {
		if !known(name) {
			delete(t.services, name)
		}
	}
}
