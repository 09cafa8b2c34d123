// Package published holds the configuration that operators publish for the entry
// instances of a platform: which routes exist, which services and stages they use,
// who may call them, and how large and slow a caller's request may be. It is
// independent of the wire format, which package anvilcross/platform decodes.
package published

import (
	"math"
	"slices"
	"strings"
	"time"

	"anvilcross/kernel/ident"
)

// Kind says how the requests of a route are answered and whether they may run more
// than once.
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

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "stream"}[k] }

// RouteName identifies a route of the configuration.
type RouteName string

// Target is one of a route's services. It gets requests in proportion to its weight.
type Target struct {
	Service ident.Service
	Weight  int
}

// Stage is a step whose results a request needs before it can run.
type Stage struct {
	Service ident.Service
	// DependsOn holds the indexes in Route.Stages of the stages whose results
	// this one needs.
	DependsOn []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int
}

// Route maps the requests of a host and path prefix to its services.
type Route struct {
	Name    RouteName
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	Stages  []Stage
	// Timeout bounds the time that a caller waits for an answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a
	// stream, within which a request is on time.
	LatencyObjective time.Duration
	// GapObjective is the time between two events of a stream within which the
	// stream is on time; zero if the route sets none.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of endpoints that one request is sent to.
	MaxAttempts int
	// Public means that callers need no key.
	Public bool
	// Resumable means that a stream may be continued on another endpoint.
	Resumable bool
	// CarriesPrompts means that requests carry prompts for a model engine.
	CarriesPrompts bool
	// AllowedRegions restricts the endpoints of the route's requests; no restriction if it
	// is empty.
	AllowedRegions []ident.Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

const (
	// The platform's callers abandon a stream without events after
	// minAbandonTime, latencyObjectiveFactor times its latency objective or
	// gapObjectiveFactor times its gap objective, whichever is longest.
	minAbandonTime         = 2 * time.Second
	latencyObjectiveFactor = 4
	gapObjectiveFactor     = 8
	// noTimeout is for callers that do not abandon a request before the timeout
	// that they sent with it.
	noTimeout = time.Duration(math.MaxInt64)
)

// Services returns the services to which the route may send a request.
func (r *Route) Services() []ident.Service {
	services := make([]ident.Service, len(r.Targets))
	for i, t := range r.Targets {
		services[i] = t.Service
	}
	return services
}

// AbandonAfter returns how long callers wait for the first event of a stream before
// they abandon the request. For other kinds of routes it is the maximum duration.
func (r *Route) AbandonAfter() time.Duration {
	if r.Kind != Stream {
		return noTimeout
	}
	return max(minAbandonTime, latencyObjectiveFactor*r.LatencyObjective, gapObjectiveFactor*r.GapObjective)
}

// BatchProfile describes the capacity and the timing of a service's stage endpoints,
// which take several pieces in one call.
type BatchProfile struct {
	// Slots is the number of calls that an endpoint runs at once.
	Slots int
	// MaxPiecesPerCall bounds the pieces in one call.
	MaxPiecesPerCall int
	// CallOverhead is the fixed part of a call's duration, and TimePerPiece what
	// each piece adds to it.
	CallOverhead time.Duration
	TimePerPiece time.Duration
	// ResultCapacityBytes is the memory that an endpoint has for results.
	ResultCapacityBytes int
	// ResultRetention is how long an endpoint keeps a result that is not freed.
	ResultRetention time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name ident.Service
	// BatchProfile is set for services with stage endpoints; otherwise nil.
	BatchProfile *BatchProfile
	// ColdTime is how long an endpoint is cold after its start, and ColdPerSecond how many
	// requests a second it then sustains; both are zero if the service has no cold endpoints.
	ColdTime      time.Duration
	ColdPerSecond float64
	// HealthPath is the path of an endpoint's health checks; empty if there is none.
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from all instances;
	// zero if the configuration does not tell.
	MaxConnections int
	// Engine describes how model endpoints run prompts; its fields are zero if the
	// configuration does not tell.
	Engine Engine
}

// Engine describes how the model endpoints of a service run prompts.
type Engine struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// KVCapacityTokens is the memory of an endpoint, in tokens.
	KVCapacityTokens int
	// Stride is the number of tokens in one event of a stream.
	Stride int
}

// Limits bounds the size of a caller's request and the time that it may take to send
// it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions restricts the endpoints of the workspace's requests; no restriction if
	// it is empty. Where a route has a list too, a region must be in both.
	AllowedRegions []ident.Region
}

// Regions returns the regions to which requests of the workspace are restricted. The workspace
// may be nil.
func (w *Workspace) Regions() []ident.Region {
	if w == nil {
		return nil
	}
	return w.AllowedRegions
}

// Catalog is one version of the configuration. BuildIndex must be called before the
// methods that look up routes and workspaces.
type Catalog struct {
	Version    int64
	Routes     []Route
	Services   map[ident.Service]*Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	// hasColdEndpoints is set if any service has a ColdPerSecond.
	hasColdEndpoints bool
}

// BuildIndex indexes the routes by host and the workspaces by key. It is called once,
// after the exported fields are set.
func (c *Catalog) BuildIndex() {
	c.hasColdEndpoints = false
	for _, s := range c.Services {
		c.hasColdEndpoints = c.hasColdEndpoints || s.ColdPerSecond > 0
	}
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

// HasColdEndpoints reports whether endpoints of any service may be cold.
func (c *Catalog) HasColdEndpoints() bool { return c.hasColdEndpoints }

// MatchRoute returns the route of the host with the longest prefix that matches the
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

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.byKey[key] }

// TightestGap returns the shortest gap objective of the streams of a service, or zero if none has
// one.
func (c *Catalog) TightestGap(s ident.Service) time.Duration {
	tightest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == Stream && r.GapObjective > 0 && (tightest == 0 || r.GapObjective < tightest) && slices.Contains(r.Services(), s) {
			tightest = r.GapObjective
		}
	}
	return tightest
}

// BatchProfile returns the batching parameters of a service's endpoints, or nil if the service is
// unknown or has no stage endpoints. The catalog may be nil.
func (c *Catalog) BatchProfile(s ident.Service) *BatchProfile {
	if c == nil || c.Services[s] == nil {
		return nil
	}
	return c.Services[s].BatchProfile
}

// RequiresKey reports whether callers need a key for routes that are not public: they
// do as soon as there is a workspace.
func (c *Catalog) RequiresKey() bool { return len(c.Workspaces) > 0 }
