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
	// DependsOn lists the stages whose results this one needs.
	DependsOn []int
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
	// LatencyObjective is the time to the answer, or to the first event, within
	// which a request is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream within
	// which it is on time; zero if the route does not say.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another endpoint.
	Resumable bool
	// CarriesPrompts routes carry prompts.
	CarriesPrompts bool
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

// AbandonAfter is how long callers wait for the first sign of an answer.
func (r *Route) AbandonAfter() time.Duration {
	if r.Kind != Stream {
		return noLimit
	}
	return max(leastGap, gapObjectives*r.LatencyObjective, gapPauses*r.GapObjective)
}

// BatchProfile describes the stage endpoints of a service.
type BatchProfile struct {
	// Slots is how many calls an endpoint works on at once.
	Slots int
	// MaxPiecesPerCall is the size of a full call.
	MaxPiecesPerCall int
	// CallOverhead is the fixed part of a call, and PieceTime the part that
	// each piece adds.
	CallOverhead time.Duration
	TimePerPiece time.Duration
	// ResultCapacityBytes is the room that an endpoint has for results.
	ResultCapacityBytes int
	// ResultRetention is how long a result is kept that nobody frees.
	ResultRetention time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name ident.Service
	// BatchProfile is set for stage endpoints.
	BatchProfile *BatchProfile
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
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

// BuildIndex prepares the look-ups; it is called once, after the fields are set.
func (c *Catalog) BuildIndex() {
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

// MatchRoute returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Catalog) MatchRoute(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// WorkspaceByKey returns the workspace of a key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.byKey[key] }

// RequiresKey reports whether callers need a key.
func (c *Catalog) RequiresKey() bool { return len(c.Workspaces) > 0 }
