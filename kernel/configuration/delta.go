package configuration

import (
	"slices"
)

// Delta is the difference between two documents, for instances that hold the
// first. A change of one workspace is a few hundred bytes, the whole document
// of a large deployment a hundred thousand.
type Delta struct {
	// FromDigest and To are the digests of the two documents.
	FromDigest string `json:"from"`
	ToDigest   string `json:"to"`
	// Scalars is the new document without the lists.
	Scalars    Document         `json:"head"`
	Services   Patch[Service]   `json:"services"`
	Pipelines  Patch[Pipeline]  `json:"pipelines"`
	Workspaces Patch[Workspace] `json:"workspaces"`
	// DataCentres are set only when they differ.
	DataCentres []DataCentre `json:"dataCentres,omitempty"`
}

// Patch lists what to change in a list of named things. Replacements keep
// their place; new things come last.
type Patch[T any] struct {
	Removed  []string `json:"removed,omitempty"`
	Upserted []T      `json:"changed,omitempty"`
}

func serviceName(s *Service) string     { return string(s.Name) }
func pipelineName(p *Pipeline) string   { return string(p.Name) }
func workspaceName(w *Workspace) string { return string(w.Name) }

func sameService(a, b *Service) bool     { return *a == *b }
func sameWorkspace(a, b *Workspace) bool { return *a == *b }

func samePipeline(a, b *Pipeline) bool {
	x, y := *a, *b
	x.Stages, y.Stages = nil, nil
	return slices.Equal(a.Stages, b.Stages) && x.Name == y.Name && x.DeadlineMillis == y.DeadlineMillis &&
		x.LateAnswer == y.LateAnswer && x.SharesAnswer == y.SharesAnswer
}

// NewDelta returns the difference, or nil when the second document cannot be
// made from the first that way, because its lists are ordered otherwise.
func NewDelta(before, after *Document) *Delta {
	d := &Delta{
		FromDigest: before.Digest(),
		ToDigest:   after.Digest(),
		Scalars:    *after,
		Services:   newPatch(before.Services, after.Services, serviceName, sameService),
		Pipelines:  newPatch(before.Pipelines, after.Pipelines, pipelineName, samePipeline),
		Workspaces: newPatch(before.Workspaces, after.Workspaces, workspaceName, sameWorkspace),
	}
	d.Scalars.Services, d.Scalars.Pipelines, d.Scalars.Workspaces, d.Scalars.DataCentres = nil, nil, nil, nil
	if !slices.Equal(before.Seats(), after.Seats()) || len(before.DataCentres) != len(after.DataCentres) {
		d.DataCentres = after.DataCentres
	}
	if d.Apply(before) == nil {
		return nil
	}
	return d
}

// Apply returns the new document, or nil when the result is not the document
// that the delta was made for.
func (d *Delta) Apply(before *Document) *Document {
	after := d.Scalars
	after.Services = apply(before.Services, d.Services, serviceName)
	after.Pipelines = apply(before.Pipelines, d.Pipelines, pipelineName)
	after.Workspaces = apply(before.Workspaces, d.Workspaces, workspaceName)
	after.DataCentres = before.DataCentres
	if d.DataCentres != nil {
		after.DataCentres = d.DataCentres
	}
	if after.Digest() != d.ToDigest {
		return nil
	}
	return &after
}

func newPatch[T any](before, after []T, name func(*T) string, same func(a, b *T) bool) Patch[T] {
	var p Patch[T]
	old := map[string]*T{}
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	for i := range after {
		o := old[name(&after[i])]
		if o == nil || !same(o, &after[i]) {
			p.Upserted = append(p.Upserted, after[i])
		}
		delete(old, name(&after[i]))
	}
	for i := range before {
		if old[name(&before[i])] != nil {
			p.Removed = append(p.Removed, name(&before[i]))
		}
	}
	return p
}

func apply[T any](before []T, p Patch[T], name func(*T) string) []T {
	changed := map[string]*T{}
	for i := range p.Upserted {
		changed[name(&p.Upserted[i])] = &p.Upserted[i]
	}
	var after []T
	for i := range before {
		n := name(&before[i])
		switch {
		case changed[n] != nil:
			after = append(after, *changed[n])
			delete(changed, n)
		case !slices.Contains(p.Removed, n):
			after = append(after, before[i])
		}
	}
	for i := range p.Upserted {
		if changed[name(&p.Upserted[i])] != nil {
			after = append(after, p.Upserted[i])
		}
	}
	return after
}
