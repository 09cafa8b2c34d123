package published

import (
	"fmt"
	"slices"
	"strings"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Change is one difference between two versions of a configuration.
type Change struct {
	// Subject names the entry, such as "route notes".
	Subject string `json:"subject"`
	Effect  string `json:"effect"`
}

// String returns the change as a line of text.
func (c Change) String() string { return c.Subject + ": " + c.Effect }

// Diff returns what changes for callers and endpoints if one configuration replaces another.
func Diff(before, after *Catalog) []Change {
	d := &differ{}
	d.compare("route", routeTerms(before), routeTerms(after))
	d.compare("service", serviceTerms(before), serviceTerms(after))
	d.compare("workspace", workspaceTerms(before), workspaceTerms(after))
	d.compareKeys(before, after)
	d.compareTerms("limits", limitTerms(before.Limits), limitTerms(after.Limits))
	d.compareMatches(before, after)
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) add(subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Subject: subject, Effect: fmt.Sprintf(format, args...)})
}

// term is a property of an entry, as text.
type term struct{ name, text string }

// compare compares the entries of one kind by name.
func (d *differ) compare(kind string, before, after map[string][]term) {
	for _, name := range value.SortedKeys(before) {
		if _, stays := after[name]; !stays {
			d.add(kind+" "+name, "is removed")
		}
	}
	for _, name := range value.SortedKeys(after) {
		if _, known := before[name]; !known {
			d.add(kind+" "+name, "is new")
			continue
		}
		d.compareTerms(kind+" "+name, before[name], after[name])
	}
}

func (d *differ) compareTerms(subject string, before, after []term) {
	for i := range after {
		if before[i].text != after[i].text {
			d.add(subject, "%s changes from %s to %s", after[i].name, before[i].text, after[i].text)
		}
	}
}

// compareKeys counts the keys of workspaces that change. It does not show them, since they are
// secret.
func (d *differ) compareKeys(before, after *Catalog) {
	old := map[ident.Workspace]value.Set[string]{}
	for _, w := range before.Workspaces {
		old[w.Name] = value.NewSet(w.Keys...)
	}
	for _, w := range after.Workspaces {
		keys, known := old[w.Name]
		if !known {
			continue
		}
		present := value.NewSet(w.Keys...)
		added := slices.DeleteFunc(present.Sorted(), keys.Has)
		removed := slices.DeleteFunc(keys.Sorted(), present.Has)
		if len(added)+len(removed) > 0 {
			d.add("workspace "+string(w.Name), "%d keys are added and %d removed", len(added), len(removed))
		}
	}
}

// compareMatches reports routes that other routes take requests from: the first route with a
// host and prefix is matched, so the order matters.
func (d *differ) compareMatches(before, after *Catalog) {
	for i := range after.Routes {
		r := &after.Routes[i]
		old, present := before.MatchRoute(r.Host, r.Prefix), after.MatchRoute(r.Host, r.Prefix)
		if old != nil && present != nil && old.Name != present.Name && present == r {
			d.add("route "+string(r.Name), "takes the requests of %s%s over from route %s", r.Host, r.Prefix, old.Name)
		}
	}
}

func routeTerms(c *Catalog) map[string][]term {
	all := map[string][]term{}
	for i := range c.Routes {
		r := &c.Routes[i]
		var targets, stages []string
		for _, t := range r.Targets {
			targets = append(targets, fmt.Sprintf("%s:%d", t.Service, t.Weight))
		}
		for _, s := range r.Stages {
			stages = append(stages, fmt.Sprintf("%s after %v (%d bytes)", s.Service, s.DependsOn, s.ResultBytes))
		}
		all[string(r.Name)] = []term{
			{"match", r.Host + r.Prefix},
			{"kind", r.Kind.String()},
			{"services", list(targets)},
			{"stages", list(stages)},
			{"timeout", r.Timeout.String()},
			{"latency objective", r.LatencyObjective.String()},
			{"gap objective", r.GapObjective.String()},
			{"priority", fmt.Sprint(r.Priority)},
			{"attempts", fmt.Sprint(r.MaxAttempts)},
			{"public", fmt.Sprint(r.Public)},
			{"resumable", fmt.Sprint(r.Resumable)},
			{"carries prompts", fmt.Sprint(r.CarriesPrompts)},
			{"allowed regions", regionList(r.AllowedRegions)},
		}
	}
	return all
}

func serviceTerms(c *Catalog) map[string][]term {
	all := map[string][]term{}
	for name, s := range c.Services {
		text := "none"
		if p := s.BatchProfile; p != nil {
			text = fmt.Sprintf("%d slots, %d in a call, %v + %v each, %d bytes of results for %v", p.Slots, p.MaxPiecesPerCall, p.CallOverhead, p.TimePerPiece, p.ResultCapacityBytes, p.ResultRetention)
		}
		all[string(name)] = []term{{"pieces", text}}
	}
	return all
}

func workspaceTerms(c *Catalog) map[string][]term {
	all := map[string][]term{}
	for _, w := range c.Workspaces {
		priority := "of the route"
		if w.HasPriority {
			priority = fmt.Sprint(w.Priority)
		}
		all[string(w.Name)] = []term{{"priority", priority}, {"allowed regions", regionList(w.AllowedRegions)}}
	}
	return all
}

func limitTerms(l Limits) []term {
	return []term{
		{"header bytes", fmt.Sprint(l.MaxHeaderBytes)},
		{"body bytes", fmt.Sprint(l.MaxBodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func list(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}

func regionList[T ~string](regions []T) string {
	if len(regions) == 0 {
		return "all"
	}
	return fmt.Sprint(regions)
}
