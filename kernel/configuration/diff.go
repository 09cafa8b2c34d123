package configuration

import (
	"fmt"
	"slices"

	"anvilcross/kernel/ident"
)

// Change is one difference between two documents and its effect.
type Change struct {
	// Subject names what changes, such as "pipeline order".
	Subject string `json:"subject"`
	Effect  string `json:"effect"`
	// Breaking is set if the change breaks a guarantee that callers have been
	// given or that requests in flight rely on.
	Breaking bool `json:"breaks,omitempty"`
}

// String returns the change as a line of text. A breaking change starts with an
// exclamation mark.
func (c Change) String() string {
	mark := " "
	if c.Breaking {
		mark = "!"
	}
	return fmt.Sprintf("%s %s: %s", mark, c.Subject, c.Effect)
}

// Diff returns the changes made by replacing one document with another.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.diffSeats(before, after)
	d.diffPipelines(before, after)
	d.diffWorkspaces(before, after)
	d.diffServices(before, after)
	if before.ResendHorizonMillis != after.ResendHorizonMillis {
		d.addChange(after.ResendHorizonMillis < before.ResendHorizonMillis, "resendHorizon", "changes from %v to %v", before.ResendHorizonMillis.Duration(), after.ResendHorizonMillis.Duration())
	}
	return d.changes
}

// differ collects the changes between two documents.
type differ struct{ changes []Change }

func (d *differ) addChange(breaking bool, subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Subject: subject, Effect: fmt.Sprintf(format, args...), Breaking: breaking})
}

// diffSeats compares the seats, which vote on request ids. A different list
// gives ids to other voting groups; while callers may still resend a request,
// two groups could decide on the same id.
func (d *differ) diffSeats(before, after *Document) {
	if !slices.Equal(before.Seats(), after.Seats()) {
		d.addChange(true, "seats", "change from %d to %d; ids that callers sent within the resend horizon may move to other seats", len(before.Seats()), len(after.Seats()))
	}
}

func (d *differ) diffPipelines(before, after *Document) {
	for i := range before.Pipelines {
		old := &before.Pipelines[i]
		subject := "pipeline " + string(old.Name)
		p := after.Pipeline(old.Name)
		if p == nil {
			d.addChange(true, subject, "is dropped; callers get unknownPipeline")
			continue
		}
		if p.DeadlineMillis != old.DeadlineMillis {
			d.addChange(false, subject, "deadline changes from %v to %v", old.DeadlineMillis.Duration(), p.DeadlineMillis.Duration())
		}
		if p.LateAnswer != old.LateAnswer {
			d.addChange(false, subject, "late answers change from %q to %q", old.LateAnswer, p.LateAnswer)
		}
		d.diffStages(subject, old, p)
	}
	for i := range after.Pipelines {
		if before.Pipeline(after.Pipelines[i].Name) == nil {
			d.addChange(false, "pipeline "+string(after.Pipelines[i].Name), "is added")
		}
	}
}

func (d *differ) diffStages(subject string, old, p *Pipeline) {
	for _, s := range old.Stages {
		i := slices.IndexFunc(p.Stages, func(o Stage) bool { return o.Name == s.Name })
		switch {
		case i < 0:
			d.addChange(!s.Idempotent, subject, "stage %s is dropped", s.Name)
		case !s.Idempotent && p.Stages[i].Idempotent:
			d.addChange(true, subject, "stage %s may be repeated from now on; it ran at most once before", s.Name)
		case p.Stages[i] != s:
			d.addChange(false, subject, "stage %s changes", s.Name)
		}
	}
	if len(p.Stages) > len(old.Stages) {
		d.addChange(false, subject, "has %d stages instead of %d", len(p.Stages), len(old.Stages))
	}
}

func (d *differ) diffWorkspaces(before, after *Document) {
	for _, old := range before.Workspaces {
		subject := "workspace " + string(old.Name)
		w := after.Workspace(old.Name)
		if w == nil {
			d.addChange(true, subject, "is dropped; its key is refused")
			continue
		}
		if w.RatePerSecond != old.RatePerSecond {
			d.addChange(false, subject, "%s from %g to %g requests/s", risesOrFalls(old.RatePerSecond, w.RatePerSecond), old.RatePerSecond, w.RatePerSecond)
		}
		if w.Share != old.Share {
			d.addChange(false, subject, "share %s from %d to %d", risesOrFalls(float64(old.Share), float64(w.Share)), old.Share, w.Share)
		}
		if w.KeyDigest != old.KeyDigest {
			d.addChange(false, subject, "gets another key; the old one is refused")
		}
	}
	for _, w := range after.Workspaces {
		if before.Workspace(w.Name) == nil {
			d.addChange(false, "workspace "+string(w.Name), "is added with %g requests/s", w.RatePerSecond)
		}
	}
}

// risesOrFalls returns the verb for a change from one number to another.
func risesOrFalls(from, to float64) string {
	if to < from {
		return "falls"
	}
	return "rises"
}

// diffServices treats a switch to Deduplicate as breaking: instances may repeat
// calls of unknown outcome from then on, also at non-idempotent stages.
func (d *differ) diffServices(before, after *Document) {
	for _, old := range before.Services {
		subject := "service " + string(old.Name)
		s := after.Service(old.Name)
		switch {
		case s == nil:
			d.addChange(usesService(after, old.Name), subject, "is dropped")
		case s.DuplicateCheck != old.DuplicateCheck:
			d.addChange(s.DuplicateCheck == Deduplicate, subject, "duplicateCheck changes from %q to %q", old.DuplicateCheck, s.DuplicateCheck)
		case *s != old:
			d.addChange(false, subject, "changes")
		}
	}
}

// usesService reports whether a stage of any pipeline runs on the service.
func usesService(d *Document, name ident.Service) bool {
	return slices.ContainsFunc(d.Pipelines, func(p Pipeline) bool {
		return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Service == name })
	})
}
