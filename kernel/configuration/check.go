package configuration

import (
	"fmt"
	"strings"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Validate returns every problem of the document, in document order.
func (d *Document) Validate() []string {
	c := &checker{}
	c.must(d.Deployment != "", "deployment has no name")
	c.must(d.Revision > 0, "revision must be at least 1")
	c.must(d.ResendHorizonMillis > 0, "resendHorizonMillis must be positive")
	c.must(d.ClockSkewMillis > 0, "clockSkewMillis must be positive")
	c.must(d.ClockSkewMillis*4 <= d.ResendHorizonMillis, "clockSkewMillis must be at most a quarter of resendHorizonMillis")
	c.seats(d)
	c.services(d)
	c.pipelines(d)
	c.workspaces(d)
	return c.problems
}

type checker struct{ problems []string }

func (c *checker) must(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) seats(d *Document) {
	seen := value.NewSet[ident.Instance]()
	c.must(len(d.DataCentres) > 0, "there is no data centre")
	for _, dc := range d.DataCentres {
		c.must(len(dc.Seats) > 0, "data centre %q has no seat", dc.Name)
		for _, seat := range dc.Seats {
			c.must(!seen.Has(seat), "seat %q is listed twice", seat)
			c.must(!strings.ContainsAny(string(seat), "./ "), "seat %q contains '.', '/' or a space", seat)
			seen.Add(seat)
		}
	}
}

func (c *checker) services(d *Document) {
	seen := value.NewSet[ident.Service]()
	for _, s := range d.Services {
		c.must(!seen.Has(s.Name), "service %q is listed twice", s.Name)
		c.must(s.Workers > 0, "service %q has no worker", s.Name)
		c.must(s.Concurrency > 0, "service %q: concurrency must be positive", s.Name)
		c.must(s.DuplicateCheck == NoDuplicateCheck || s.DuplicateCheck == Deduplicate, "service %q: duplicateCheck %q is neither %q nor %q", s.Name, s.DuplicateCheck, NoDuplicateCheck, Deduplicate)
		seen.Add(s.Name)
	}
}

func (c *checker) pipelines(d *Document) {
	seen := value.NewSet[ident.Pipeline]()
	c.must(len(d.Pipelines) > 0, "there is no pipeline")
	for _, p := range d.Pipelines {
		c.must(!seen.Has(p.Name), "pipeline %q is listed twice", p.Name)
		seen.Add(p.Name)
		c.must(p.DeadlineMillis > 0, "pipeline %q: deadline must be positive", p.Name)
		c.must(p.LateAnswer == DeliverLate || p.LateAnswer == DropLate, "pipeline %q: lateAnswer %q is neither %q nor %q", p.Name, p.LateAnswer, DeliverLate, DropLate)
		c.must(!p.SharesAnswer || p.Idempotent(), "pipeline %q: sameAnswer needs every stage to be idempotent", p.Name)
		c.must(len(p.Stages) > 0, "pipeline %q has no stage", p.Name)
		c.stages(d, p)
	}
}

func (c *checker) stages(d *Document, p Pipeline) {
	for _, s := range p.Stages {
		c.must(d.Service(s.Service) != nil, "pipeline %q, stage %q: service %q does not exist", p.Name, s.Name, s.Service)
		c.must(s.ExpectedMillis > 0, "pipeline %q, stage %q: expected time must be positive", p.Name, s.Name)
	}
}

func (c *checker) workspaces(d *Document) {
	seen := value.NewSet[ident.Workspace]()
	c.must(len(d.Workspaces) > 0, "there is no workspace")
	for _, w := range d.Workspaces {
		c.must(!seen.Has(w.Name), "workspace %q is listed twice", w.Name)
		c.must(len(w.KeyDigest) == 64, "workspace %q: keyDigest is not a SHA-256 in hexadecimal", w.Name)
		c.must(w.Share > 0, "workspace %q: share must be positive", w.Name)
		c.must(w.RatePerSecond > 0, "workspace %q: ratePerSecond must be positive", w.Name)
		seen.Add(w.Name)
	}
}
