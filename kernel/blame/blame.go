// Package blame finds poison requests: those that crash the endpoints that run
// them. A crash is attributed to all request contents that were running on the
// endpoint, as reported by all instances. Content with a crash is suspect and has to
// run isolated: apart from other suspects, each content on a different endpoint.
// Content with two crashes is poison and is quarantined if it is the sole suspect of
// one of them, and content with Config.PoisonCrashes in any case. Requests are
// identified by the digest of their content, because callers resend a crashing request
// under a new id.
//
// Parts does the same for the prompt parts that requests share, where no two requests
// are alike, and for whole requests where they cannot run isolated.
package blame

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

// Status is how requests with some content are treated.
type Status int

// Statuses of a content.
const (
	// Normal content has no crash attributed to it.
	Normal Status = iota
	// Suspect content has to run isolated.
	Suspect
	// Poison content is quarantined.
	Poison
)

// Config configures a Table.
type Config struct {
	// Retention is how long a crash is kept.
	Retention time.Duration
	// MaxCrashes bounds the number of crashes kept; beyond it the oldest is
	// dropped.
	MaxCrashes int
	// PoisonCrashes is the number of crashes from which on content is poison
	// even if it was never the sole suspect.
	PoisonCrashes int
	// Backoff is the minimum time that content waits after its second and each
	// later crash.
	Backoff time.Duration
}

// sameCrashWindow is the time within which two reports for an endpoint are of the
// same crash: instances notice a crash at different times, and their clocks differ.
const sameCrashWindow = 1500 * time.Millisecond

// Report says that a content was running on an endpoint when the endpoint crashed.
type Report struct {
	Digest   ident.Digest   `json:"digest"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Service  ident.Service  `json:"service"`
	At       time.Time      `json:"at"`
}

// crash is a crash of an endpoint with the digests of the contents that were running
// there and have not been cleared.
type crash struct {
	endpoint ident.Endpoint
	service  ident.Service
	at       time.Time
	digests  []ident.Digest
}

// Table holds the recent crashes.
type Table struct {
	config   Config
	crashes  []*crash
	byDigest map[ident.Digest][]*crash
}

// NewTable returns an empty table.
func NewTable(c Config) *Table { return &Table{config: c, byDigest: map[ident.Digest][]*crash{}} }

// AddReport adds a report. Adding the same report again has no effect.
func (t *Table) AddReport(now time.Time, r Report) {
	t.expire(now)
	c := t.findCrash(r)
	if c == nil {
		c = &crash{endpoint: r.Endpoint, service: r.Service, at: r.At}
		t.crashes = append(t.crashes, c)
	}
	if slices.Contains(c.digests, r.Digest) {
		return
	}
	c.digests = append(c.digests, r.Digest)
	t.byDigest[r.Digest] = append(t.byDigest[r.Digest], c)
}

// findCrash returns the known crash that a report is about, or nil.
func (t *Table) findCrash(r Report) *crash {
	for _, c := range t.crashes {
		if c.endpoint == r.Endpoint && c.at.Sub(r.At).Abs() < sameCrashWindow {
			return c
		}
	}
	return nil
}

// Clear removes the content from all crashes, because it finished while it ran
// isolated on an endpoint. That narrows down the other suspects of these crashes.
func (t *Table) Clear(d ident.Digest) {
	for _, c := range t.byDigest[d] {
		c.digests = slices.DeleteFunc(c.digests, func(o ident.Digest) bool { return o == d })
	}
	delete(t.byDigest, d)
}

// StatusOf returns the content's status.
func (t *Table) StatusOf(now time.Time, d ident.Digest) Status {
	if len(t.crashes) == 0 {
		return Normal
	}
	t.expire(now)
	crashes := t.byDigest[d]
	soleSuspect := slices.ContainsFunc(crashes, func(c *crash) bool { return len(c.digests) == 1 })
	switch {
	case len(crashes) == 0:
		return Normal
	case len(crashes) > 1 && soleSuspect, len(crashes) >= t.config.PoisonCrashes:
		return Poison
	}
	return Suspect
}

// MustRunIsolated reports whether the content has to run isolated at a service. That
// holds only for a service where it is suspected, since finishing elsewhere does not
// clear it.
func (t *Table) MustRunIsolated(now time.Time, d ident.Digest, s ident.Service) bool {
	if t.StatusOf(now, d) == Normal {
		return false
	}
	return slices.ContainsFunc(t.byDigest[d], func(c *crash) bool { return c.service == s })
}

// maxBackoffJitter bounds the time by which the digest of a content extends its
// backoff.
const maxBackoffJitter = time.Second

// InBackoff reports whether suspect content has to wait. After a second crash the
// backoff gives the other suspects time to finish and to be cleared, so that the
// culprit is found without a third crash. The backoffs of different contents differ,
// so that suspects that ran together twice do not run together again.
func (t *Table) InBackoff(now time.Time, d ident.Digest) bool {
	crashes := t.byDigest[d]
	if len(crashes) < 2 {
		return false
	}
	backoff := t.config.Backoff + time.Duration(uint64(d)%uint64(maxBackoffJitter))
	return now.Sub(crashes[len(crashes)-1].at) < backoff
}

// CrashCount returns the number of crashes in which the content is a suspect.
func (t *Table) CrashCount(d ident.Digest) int { return len(t.byDigest[d]) }

// LatestReports returns the reports of the latest crashes, latest first and at most
// limit of them.
func (t *Table) LatestReports(limit int) []Report {
	var reports []Report
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		for _, d := range c.digests {
			if len(reports) == limit {
				return reports
			}
			reports = append(reports, Report{Digest: d, Endpoint: c.endpoint, Service: c.service, At: c.at})
		}
	}
	return reports
}

// expire drops the crashes older than Retention, and the oldest beyond MaxCrashes.
func (t *Table) expire(now time.Time) {
	for len(t.crashes) > 0 && (now.Sub(t.crashes[0].at) > t.config.Retention || len(t.crashes) > t.config.MaxCrashes) {
		oldest := t.crashes[0]
		t.crashes = t.crashes[1:]
		for _, d := range oldest.digests {
			t.byDigest[d] = slices.DeleteFunc(t.byDigest[d], func(c *crash) bool { return c == oldest })
			if len(t.byDigest[d]) == 0 {
				delete(t.byDigest, d)
			}
		}
	}
}
