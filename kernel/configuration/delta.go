package configuration

import (
	"slices"
)

// Delta is the difference between two documents. Instances that hold the first
// get it instead of the second one: a change of one workspace takes a few
// hundred bytes, the whole document of a large deployment about 100 000.
type Delta struct {
	// FromDigest and ToDigest are the digests of the two documents.
	FromDigest string `json:"from"`
	ToDigest   string `json:"to"`
	// Scalars is the new document without its lists.
	Scalars    Document         `json:"head"`
	Services   Patch[Service]   `json:"services"`
	Pipelines  Patch[Pipeline]  `json:"pipelines"`
	Workspaces Patch[Workspace] `json:"workspaces"`
	// DataCentres is the new list if it differs.
	DataCentres []DataCentre `json:"dataCentres,omitempty"`
}

// Patch is the difference between two lists of named items. Changed items keep
// their position; new ones are appended.
type Patch[T any] struct {
	Removed  []string `json:"removed,omitempty"`
	Upserted []T      `json:"changed,omitempty"`
}

func serviceName(s *Service) string     { return string(s.Name) }
func pipelineName(p *Pipeline) string   { return string(p.Name) }
func workspaceName(w *Workspace) string { return string(w.Name) }

func equalServices(a, b *Service) bool     { return *a == *b }
func equalWorkspaces(a, b *Workspace) bool { return *a == *b }

func equalPipelines(a, b *Pipeline) bool {
	x, y := *a, *b
	x.Stages, y.Stages = nil, nil
	return slices.Equal(a.Stages, b.Stages) && x.Name == y.Name && x.DeadlineMillis == y.DeadlineMillis &&
		x.LateAnswer == y.LateAnswer && x.SharesAnswer == y.SharesAnswer
}

// NewDelta returns the difference between two documents. It returns nil if the
// second document cannot be built from the first that way because its lists are
// in another order.
func NewDelta(before, after *Document) *Delta {
	d := &Delta{
		FromDigest: before.Digest(),
		ToDigest:   after.Digest(),
		Scalars:    *after,
		Services:   newPatch(before.Services, after.Services, serviceName, equalServices),
		Pipelines:  newPatch(before.Pipelines, after.Pipelines, pipelineName, equalPipelines),
		Workspaces: newPatch(before.Workspaces, after.Workspaces, workspaceName, equalWorkspaces),
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

// Apply returns the second document. It returns nil if the result does not have
// the second document's digest, as when before is not the first document.
func (d *Delta) Apply(before *Document) *Document {
	after := d.Scalars
	after.Services = applyPatch(before.Services, d.Services, serviceName)
	after.Pipelines = applyPatch(before.Pipelines, d.Pipelines, pipelineName)
	after.Workspaces = applyPatch(before.Workspaces, d.Workspaces, workspaceName)
	after.DataCentres = before.DataCentres
	if d.DataCentres != nil {
		after.DataCentres = d.DataCentres
	}
	if after.Digest() != d.ToDigest {
		return nil
	}
	return &after
}

func newPatch[T any](before, after []T, name func(*T) string, equal func(a, b *T) bool) Patch[T] {
	var p Patch[T]
	unmatched := map[string]*T{}
	for i := range before {
		unmatched[name(&before[i])] = &before[i]
	}
	for i := range after {
		previous := unmatched[name(&after[i])]
		if previous == nil || !equal(previous, &after[i]) {
			p.Upserted = append(p.Upserted, after[i])
		}
		delete(unmatched, name(&after[i]))
	}
	for i := range before {
		if unmatched[name(&before[i])] != nil {
			p.Removed = append(p.Removed, name(&before[i]))
		}
	}
	return p
}

func applyPatch[T any](before []T, p Patch[T], name func(*T) string) []T {
	upserts := map[string]*T{}
	for i := range p.Upserted {
		upserts[name(&p.Upserted[i])] = &p.Upserted[i]
	}
	var after []T
	for i := range before {
		n := name(&before[i])
		switch {
		case upserts[n] != nil:
			after = append(after, *upserts[n])
			delete(upserts, n)
		case !slices.Contains(p.Removed, n):
			after = append(after, before[i])
		}
	}
	for i := range p.Upserted {
		if upserts[name(&p.Upserted[i])] != nil {
			after = append(after, p.Upserted[i])
		}
	}
	return after
}
