package configuration

import (
	"fmt"
	"slices"

	"anvilcross/kernel/ident"
)

// Change is one difference between two configurations and what it does.
type Change struct {
	Subject string `json:"subject"`
	Effect  string `json:"effect"`
	// Breaking is set when the change breaks a promise that was made to
	// callers or that requests in flight rely on.
	Breaking bool `json:"breaks,omitempty"`
}

// String returns the change as a line; one that breaks a promise starts with
// an exclamation mark.
func (c Change) String() string {
	mark := " "
	if c.Breaking {
		mark = "!"
	}
	return fmt.Sprintf("%s %s: %s", mark, c.Subject, c.Effect)
}

// Diff lists the effects of replacing one document by another.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.seats(before, after)
	d.pipelines(before, after)
	d.workspaces(before, after)
	d.services(before, after)
	if before.ResendHorizonMillis != after.ResendHorizonMillis {
		d.add(after.ResendHorizonMillis < before.ResendHorizonMillis, "resendHorizon", "changes from %v to %v", before.ResendHorizonMillis.Duration(), after.ResendHorizonMillis.Duration())
	}
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(breaks bool, subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Subject: subject, Effect: fmt.Sprintf(format, args...), Breaking: breaks})
}

// seats compares the voters: moving a vote while callers may still resend
// would let two groups decide on one id.
func (d *differ) seats(before, after *Document) {
	if !slices.Equal(before.Seats(), after.Seats()) {
		d.add(true, "seats", "change from %d to %d; ids that callers sent within the resend horizon may move to other seats", len(before.Seats()), len(after.Seats()))
	}
}

func (d *differ) pipelines(before, after *Document) {
	for i := range before.Pipelines {
		old := &before.Pipelines[i]
		subject := "pipeline " + string(old.Name)
		p := after.Pipeline(old.Name)
		if p == nil {
			d.add(true, subject, "is dropped; callers get unknownPipeline")
			continue
		}
		if p.DeadlineMillis != old.DeadlineMillis {
			d.add(false, subject, "deadline changes from %v to %v", old.DeadlineMillis.Duration(), p.DeadlineMillis.Duration())
		}
		if p.LateAnswer != old.LateAnswer {
			d.add(false, subject, "late answers change from %q to %q", old.LateAnswer, p.LateAnswer)
		}
		d.stages(subject, old, p)
	}
	for i := range after.Pipelines {
		if before.Pipeline(after.Pipelines[i].Name) == nil {
			d.add(false, "pipeline "+string(after.Pipelines[i].Name), "is added")
		}
	}
}

func (d *differ) stages(subject string, old, p *Pipeline) {
	for _, s := range old.Stages {
		i := slices.IndexFunc(p.Stages, func(o Stage) bool { return o.Name == s.Name })
		switch {
		case i < 0:
			d.add(!s.Idempotent, subject, "stage %s is dropped", s.Name)
		case !s.Idempotent && p.Stages[i].Idempotent:
			d.add(true, subject, "stage %s may be repeated from now on; it ran at most once before", s.Name)
		case p.Stages[i] != s:
			d.add(false, subject, "stage %s changes", s.Name)
		}
	}
	if len(p.Stages) > len(old.Stages) {
		d.add(false, subject, "has %d stages instead of %d", len(p.Stages), len(old.Stages))
	}
}

func (d *differ) workspaces(before, after *Document) {
	for _, old := range before.Workspaces {
		subject := "workspace " + string(old.Name)
		w := after.Workspace(old.Name)
		if w == nil {
			d.add(true, subject, "is dropped; its key is refused")
			continue
		}
		if w.RatePerSecond != old.RatePerSecond {
			d.add(false, subject, "%s from %g to %g requests/s", direction(old.RatePerSecond, w.RatePerSecond), old.RatePerSecond, w.RatePerSecond)
		}
		if w.Share != old.Share {
			d.add(false, subject, "share %s from %d to %d", direction(float64(old.Share), float64(w.Share)), old.Share, w.Share)
		}
		if w.KeyDigest != old.KeyDigest {
			d.add(false, subject, "gets another key; the old one is refused")
		}
	}
	for _, w := range after.Workspaces {
		if before.Workspace(w.Name) == nil {
			d.add(false, "workspace "+string(w.Name), "is added with %g requests/s", w.RatePerSecond)
		}
	}
}

func direction(from, to float64) string {
	if to < from {
		return "falls"
	}
	return "rises"
}

func (d *differ) services(before, after *Document) {
	for _, old := range before.Services {
		subject := "service " + string(old.Name)
		s := after.Service(old.Name)
		switch {
		case s == nil:
			d.add(usedBy(after, old.Name), subject, "is dropped")
		case s.DuplicateCheck != old.DuplicateCheck:
			d.add(s.DuplicateCheck == Deduplicate, subject, "duplicateCheck changes from %q to %q", old.DuplicateCheck, s.DuplicateCheck)
		case *s != old:
			d.add(false, subject, "changes")
		}
	}
}

func usedBy(d *Document, name ident.Service) bool {
	return slices.ContainsFunc(d.Pipelines, func(p Pipeline) bool {
		return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Service == name })
	})
}
