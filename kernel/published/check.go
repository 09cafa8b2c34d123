package published

import (
	"fmt"
	"slices"
	"time"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/retrybudget"
	"anvilcross/kernel/value"
)

// Severity says whether the instances reject a configuration because of a finding.
type Severity string

// The severities.
const (
	// Error means that the instances reject the configuration and keep the one in force.
	Error Severity = "error"
	// Warning means that they use it, but that a part of it has no effect or contradicts
	// another one.
	Warning Severity = "warning"
)

// Finding is something in a configuration that its operator should know.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry and the field, such as "route notes: timeout".
	Place string `json:"place"`
	// Value is what is there; empty if something is missing.
	Value string `json:"value,omitempty"`
	Text  string `json:"text"`
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Text)
	}
	return fmt.Sprintf("%s: %s = %s: %s", f.Severity, f.Place, f.Value, f.Text)
}

// Instance is what the instances of a deployment are set up with, as far as a configuration
// has to fit it.
type Instance struct {
	Retry       retrybudget.Limits
	MemoryBytes int
	// Regions holds the region of each data centre; nil if it is not known.
	Regions evacuation.Regions
}

// maxBodyMemoryShare is the share of an instance's memory that a single body may take. It has
// to fit beside the process itself and other callers' requests.
const maxBodyMemoryShare = 0.25

// Check returns what has no effect in the configuration, or contradicts another part of it. The
// instance may be nil; what depends on it is not checked then.
func (c *Catalog) Check(instance *Instance) []Finding {
	k := &checker{catalog: c, instance: instance, used: value.NewSet[ident.Service]()}
	k.checkRoutes()
	k.checkServices()
	k.checkWorkspaces()
	k.checkLimits()
	return k.findings
}

// checker collects the findings of a configuration.
type checker struct {
	catalog  *Catalog
	instance *Instance
	// used holds the services that a route or a stage names.
	used     value.Set[ident.Service]
	findings []Finding
}

// warn adds a warning. value may be of any type; nil if something is missing.
func (k *checker) warn(place string, v any, format string, args ...any) {
	f := Finding{Severity: Warning, Place: place, Text: fmt.Sprintf(format, args...)}
	if v != nil {
		f.Value = fmt.Sprint(v)
	}
	k.findings = append(k.findings, f)
}

// requireService marks a service as used and warns if there is no such service.
func (k *checker) requireService(place string, s ident.Service) {
	k.used.Add(s)
	if k.catalog.Services[s] == nil {
		k.warn(place, s, "there is no such service")
	}
}

func (k *checker) checkRoutes() {
	type match struct{ host, prefix string }
	first := map[match]RouteName{}
	names := value.NewSet[RouteName]()
	if len(k.catalog.Routes) == 0 {
		k.warn("routes", nil, "there is none; no request is served")
	}
	for i := range k.catalog.Routes {
		r := &k.catalog.Routes[i]
		place := "route " + string(r.Name)
		if names.Has(r.Name) {
			k.warn(place, nil, "an earlier route has the same name; logs and metrics do not tell them apart")
		}
		names.Add(r.Name)
		m := match{r.Host, r.Prefix}
		if earlier, taken := first[m]; taken {
			k.warn(place+": prefix", r.Host+r.Prefix, "never matches, since route %s has the same host and prefix", earlier)
		} else {
			first[m] = r.Name
		}
		k.checkTargets(place, r)
		k.checkRouteLimits(place, r)
		k.checkStages(place, r)
		k.checkRegions(place, r.AllowedRegions)
	}
}

func (k *checker) checkTargets(place string, r *Route) {
	total := 0
	for _, t := range r.Targets {
		k.requireService(place+": service", t.Service)
		total += max(t.Weight, 0)
	}
	for _, t := range r.Targets {
		if t.Weight <= 0 && total > 0 {
			k.warn(place+": weight of service "+string(t.Service), t.Weight, "the service gets no requests of this route")
		}
	}
	if total <= 0 {
		k.warn(place+": weights", total, "all requests go to the first service")
	}
}

func (k *checker) checkRouteLimits(place string, r *Route) {
	if r.Timeout <= 0 {
		k.warn(place+": timeout", r.Timeout, "every request times out at once")
	}
	if r.LatencyObjective > r.Timeout {
		k.warn(place+": latency objective", r.LatencyObjective, "is above the timeout of %v", r.Timeout)
	}
	if r.Kind == Stream && r.Timeout > 0 && r.AbandonAfter() > r.Timeout {
		k.warn(place+": timeout", r.Timeout, "is below the %v for which callers wait for a first event", r.AbandonAfter())
	}
	if r.GapObjective > 0 && r.Kind != Stream {
		k.warn(place+": gap objective", r.GapObjective, "has no effect on a route without streams")
	}
	if r.Resumable && r.Kind != Stream {
		k.warn(place+": resumable", true, "has no effect on a route without streams")
	}
	switch {
	case r.MaxAttempts < 1:
		k.warn(place+": attempts", r.MaxAttempts, "counts as 1")
	case r.MaxAttempts > 1 && !r.Repeatable():
		k.warn(place+": attempts", r.MaxAttempts, "has no effect, since requests of this kind run at most once")
	case k.instance != nil && float64(r.MaxAttempts-1) > k.instance.Retry.RetriesOfOne():
		k.warn(place+": attempts", r.MaxAttempts, "the retry budget covers %.0f retries of one request", k.instance.Retry.RetriesOfOne())
	}
}

func (k *checker) checkStages(place string, r *Route) {
	for i, s := range r.Stages {
		stage := fmt.Sprintf("%s: stage %d", place, i)
		k.requireService(stage, s.Service)
		if service := k.catalog.Services[s.Service]; service != nil && service.BatchProfile == nil {
			k.warn(stage, s.Service, "the service takes no pieces, so the stage never ends")
		}
		if !r.CarriesPrompts && !slices.ContainsFunc(r.Stages[i+1:], func(later Stage) bool { return slices.Contains(later.DependsOn, i) }) {
			k.warn(stage, s.Service, "nothing needs its results: no later stage does, and the route carries no prompts")
		}
	}
	if need := k.catalog.MinStageTime(r); len(r.Stages) > 0 && need > min(r.Timeout, r.AbandonAfter()) {
		k.warn(place+": timeout", min(r.Timeout, r.AbandonAfter()), "is below the %v that the calls of the stages take at least", need)
	}
}

func (k *checker) checkServices() {
	for _, name := range value.SortedKeys(k.catalog.Services) {
		place := "service " + string(name)
		if !k.used.Has(name) {
			k.warn(place, nil, "no route uses it")
		}
		p := k.catalog.Services[name].BatchProfile
		if p == nil {
			continue
		}
		if p.Slots < 1 || p.MaxPiecesPerCall < 1 {
			k.warn(place+": pieces", fmt.Sprintf("%d slots, %d pieces in a call", p.Slots, p.MaxPiecesPerCall), "no piece is ever computed")
		}
		for i := range k.catalog.Routes {
			for _, s := range k.catalog.Routes[i].Stages {
				if s.Service == name && s.ResultBytes > p.ResultCapacityBytes {
					k.warn(place+": memory for results", p.ResultCapacityBytes, "is below the size %d of one result of route %s", s.ResultBytes, k.catalog.Routes[i].Name)
				}
			}
		}
	}
}

func (k *checker) checkWorkspaces() {
	holders := map[string]ident.Workspace{}
	names := value.NewSet[ident.Workspace]()
	for i := range k.catalog.Workspaces {
		w := &k.catalog.Workspaces[i]
		place := "workspace " + string(w.Name)
		if names.Has(w.Name) {
			k.warn(place, nil, "an earlier workspace has the same name")
		}
		names.Add(w.Name)
		if len(w.Keys) == 0 {
			k.warn(place+": keys", nil, "there is none; nobody can use the workspace")
		}
		for n, key := range w.Keys {
			if holder, held := holders[key]; held {
				k.warn(fmt.Sprintf("%s: key %d", place, n), nil, "workspace %s holds the same key; it belongs to %s", holder, k.catalog.WorkspaceByKey(key).Name)
			}
			holders[key] = w.Name
		}
		k.checkRegions(place, w.AllowedRegions)
		for j := range k.catalog.Routes {
			r := &k.catalog.Routes[j]
			if b := evacuation.NewBound(r.AllowedRegions, w.AllowedRegions); !r.Public && len(r.AllowedRegions) > 0 && b.Restricts() && len(b.Regions()) == 0 {
				k.warn(place+": regions", w.AllowedRegions, "route %s allows none of them; the workspace's requests are refused there", r.Name)
			}
		}
	}
}

// checkRegions warns of regions in which there is no data centre.
func (k *checker) checkRegions(place string, regions []ident.Region) {
	if k.instance == nil || k.instance.Regions == nil {
		return
	}
	for _, region := range regions {
		found := false
		for _, other := range k.instance.Regions {
			found = found || other == region
		}
		if !found {
			k.warn(place+": regions", region, "no data centre is in this region")
		}
	}
}

func (k *checker) checkLimits() {
	l := k.catalog.Limits
	for _, b := range []struct {
		place string
		bytes int
	}{{"limits: header bytes", l.MaxHeaderBytes}, {"limits: body bytes", l.MaxBodyBytes}} {
		if b.bytes <= 0 {
			k.warn(b.place, b.bytes, "is no limit above zero")
		}
	}
	for _, b := range []struct {
		place string
		time  time.Duration
	}{{"limits: header timeout", l.HeaderTimeout}, {"limits: idle timeout", l.IdleTimeout}} {
		if b.time <= 0 {
			k.warn(b.place, b.time, "is no time above zero")
		}
	}
	if k.instance != nil && float64(l.MaxBodyBytes) > maxBodyMemoryShare*float64(k.instance.MemoryBytes) {
		k.warn("limits: body bytes", l.MaxBodyBytes, "an instance with %d bytes of memory holds no such body beside other requests", k.instance.MemoryBytes)
	}
}

// SinglePieceCallTime returns the time of a call with one piece; zero without a profile.
func (p *BatchProfile) SinglePieceCallTime() time.Duration {
	if p == nil {
		return 0
	}
	return p.CallOverhead + p.TimePerPiece
}

// MinStageTime returns the shortest time in which the stages of a route can run: the calls with
// one piece of the longest chain of stages.
func (c *Catalog) MinStageTime(r *Route) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		for _, dependency := range s.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += c.BatchProfile(s.Service).SinglePieceCallTime()
		longest = max(longest, ends[i])
	}
	return longest
}
