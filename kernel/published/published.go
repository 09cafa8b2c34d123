// Package published holds the configuration that operators publish for a
// platform's entry instances: which routes exist, which services and stages
// stand behind them, who may call them, and what a caller may send. It is
// decoded at the edge; nothing here knows its wire form.
package published

import (
	"math"
	"strings"
	"time"

	"anvilcross/kernel/ident"
)

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests answer with a series of events. They run at most once
	// unless the route is resumable.
	Stream
)

// RouteName names a route of the configuration.
type RouteName string

// Target is one service of a route and its share of the requests.
type Target struct {
	Service ident.Service
	Weight  int
}

// Stage is work that has to be done before a request can run.
type Stage struct {
	Service ident.Service
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int
}

// Route leads the requests of a host and path prefix to a service.
type Route struct {
	Name    RouteName
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	Stages  []Stage
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, within
	// which a request is on time.
	Objective time.Duration
	// LongestGap is the longest pause between two events of a stream within
	// which it is on time; zero if the route does not say.
	LongestGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another endpoint.
	Resumable bool
	// Engine routes carry prompts.
	Engine bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

const (
	// Callers abandon a stream that shows nothing for leastGap, gapObjectives
	// times its objective or gapPauses times its longest gap, whichever is
	// longest: the platform's callers do so.
	leastGap      = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
	// noLimit stands for callers that wait as long as they said.
	noLimit = time.Duration(math.MaxInt64)
)

// GivenUpAfter is how long callers wait for the first sign of an answer.
func (r *Route) GivenUpAfter() time.Duration {
	if r.Kind != Stream {
		return noLimit
	}
	return max(leastGap, gapObjectives*r.Objective, gapPauses*r.LongestGap)
}

// Batches describes the stage endpoints of a service.
type Batches struct {
	// Slots is how many calls an endpoint works on at once.
	Slots int
	// MaxPieces is the size of a full call.
	MaxPieces int
	// CallTime is the fixed part of a call, and PieceTime the part that
	// each piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultBytes is the room that an endpoint has for results.
	ResultBytes int
	// KeepTime is how long a result is kept that nobody frees.
	KeepTime time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name ident.Service
	// Batches is set for stage endpoints.
	Batches *Batches
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with the keys that belong to it.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority, where set, goes before that of the route.
	Priority    int
	HasPriority bool
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version    int64
	Routes     []Route
	Services   map[ident.Service]*Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Index prepares the look-ups; it is called once, after the fields are set.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Holder returns the workspace of a key, or nil.
func (c *Catalog) Holder(key string) *Workspace { return c.byKey[key] }

// Closed reports whether callers need a key.
func (c *Catalog) Closed() bool { return len(c.Workspaces) > 0 }
