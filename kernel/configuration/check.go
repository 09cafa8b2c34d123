package configuration

import (
	"fmt"
	"strings"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Validate returns all problems of the document, in document order.
func (d *Document) Validate() []string {
	c := &checker{}
	c.require(d.Deployment != "", "deployment has no name")
	c.require(d.Revision > 0, "revision must be at least 1")
	c.require(d.ResendHorizonMillis > 0, "resendHorizonMillis must be positive")
	c.require(d.ClockSkewMillis > 0, "clockSkewMillis must be positive")
	c.require(d.ClockSkewMillis*4 <= d.ResendHorizonMillis, "clockSkewMillis must be at most a quarter of resendHorizonMillis")
	c.checkSeats(d)
	c.checkServices(d)
	c.checkPipelines(d)
	c.checkWorkspaces(d)
	return c.problems
}

// checker collects the problems of a document.
type checker struct{ problems []string }

// require adds a problem unless the condition holds.
func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkSeats(d *Document) {
	seen := value.NewSet[ident.Instance]()
	c.require(len(d.DataCentres) > 0, "there is no data centre")
	for _, dc := range d.DataCentres {
		c.require(len(dc.Seats) > 0, "data centre %q has no seat", dc.Name)
		for _, seat := range dc.Seats {
			c.require(!seen.Has(seat), "seat %q is listed twice", seat)
			c.require(!strings.ContainsAny(string(seat), "./ "), "seat %q contains '.', '/' or a space", seat)
			seen.Add(seat)
		}
	}
}

func (c *checker) checkServices(d *Document) {
	seen := value.NewSet[ident.Service]()
	for _, s := range d.Services {
		c.require(!seen.Has(s.Name), "service %q is listed twice", s.Name)
		c.require(s.Workers > 0, "service %q has no worker", s.Name)
		c.require(s.Concurrency > 0, "service %q: concurrency must be positive", s.Name)
		c.require(s.DuplicateCheck == NoDuplicateCheck || s.DuplicateCheck == Deduplicate, "service %q: duplicateCheck %q is neither %q nor %q", s.Name, s.DuplicateCheck, NoDuplicateCheck, Deduplicate)
		seen.Add(s.Name)
	}
}

func (c *checker) checkPipelines(d *Document) {
	seen := value.NewSet[ident.Pipeline]()
	c.require(len(d.Pipelines) > 0, "there is no pipeline")
	for _, p := range d.Pipelines {
		c.require(!seen.Has(p.Name), "pipeline %q is listed twice", p.Name)
		seen.Add(p.Name)
		c.require(p.DeadlineMillis > 0, "pipeline %q: deadline must be positive", p.Name)
		c.require(p.LateAnswer == DeliverLate || p.LateAnswer == DropLate, "pipeline %q: lateAnswer %q is neither %q nor %q", p.Name, p.LateAnswer, DeliverLate, DropLate)
		c.require(!p.SharesAnswer || p.Idempotent(), "pipeline %q: sameAnswer needs every stage to be idempotent", p.Name)
		c.require(len(p.Stages) > 0, "pipeline %q has no stage", p.Name)
		c.checkStages(d, p)
	}
}

func (c *checker) checkStages(d *Document, p Pipeline) {
	for _, s := range p.Stages {
		c.require(d.Service(s.Service) != nil, "pipeline %q, stage %q: service %q does not exist", p.Name, s.Name, s.Service)
		c.require(s.ExpectedMillis > 0, "pipeline %q, stage %q: expected time must be positive", p.Name, s.Name)
	}
}

func (c *checker) checkWorkspaces(d *Document) {
	seen := value.NewSet[ident.Workspace]()
	c.require(len(d.Workspaces) > 0, "there is no workspace")
	for _, w := range d.Workspaces {
		c.require(!seen.Has(w.Name), "workspace %q is listed twice", w.Name)
		c.require(len(w.KeyDigest) == 64, "workspace %q: keyDigest is not a SHA-256 in hexadecimal", w.Name)
		c.require(w.Share > 0, "workspace %q: share must be positive", w.Name)
		c.require(w.RatePerSecond > 0, "workspace %q: ratePerSecond must be positive", w.Name)
		seen.Add(w.Name)
	}
}
