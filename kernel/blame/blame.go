// Package blame finds requests that crash the endpoints that run them. A
// crash blames every content that ran there, as all instances report it. What
// is blamed is run alone, each content on another endpoint; what crashes an
// endpoint again, and was once the only one blamed, is quarantined. Requests
// are recognised by content, because a caller sends a crashing request again
// under a new id.
package blame

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

// Status is how a request's content is treated.
type Status int

// The standings.
const (
	// Normal content runs normally.
	Normal Status = iota
	// Suspect content runs alone on one endpoint.
	Suspect
	// Poison content is quarantined.
	Poison
)

// Config sets up a Table.
type Config struct {
	// Retention is how long a crash is remembered.
	Retention time.Duration
	// MaxCrashes bounds the table; at the bound the oldest is forgotten.
	MaxCrashes int
	// PoisonCrashes is the number of crashes that quarantines content which
	// was never the only one blamed.
	PoisonCrashes int
	// Backoff is how long content waits after its second crash.
	Backoff time.Duration
}

// sameCrash is how far apart two reports of one crash may be: instances learn
// of it at different times, by clocks that differ.
const sameCrash = 1500 * time.Millisecond

// Report says that a content ran on an endpoint when that died.
type Report struct {
	Digest   ident.Digest   `json:"digest"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Service  ident.Service  `json:"service"`
	At       time.Time      `json:"at"`
}

type crash struct {
	endpoint ident.Endpoint
	service  ident.Service
	at       time.Time
	blamed   []ident.Digest
}

// Table remembers the latest crashes.
type Table struct {
	config  Config
	crashes []*crash
	blamed  map[ident.Digest][]*crash
}

// NewTable returns an empty table.
func NewTable(c Config) *Table { return &Table{config: c, blamed: map[ident.Digest][]*crash{}} }

// AddReport takes a report. The same report may come several times.
func (t *Table) AddReport(now time.Time, r Report) {
	t.expire(now)
	c := t.find(r)
	if c == nil {
		c = &crash{endpoint: r.Endpoint, service: r.Service, at: r.At}
		t.crashes = append(t.crashes, c)
	}
	if slices.Contains(c.blamed, r.Digest) {
		return
	}
	c.blamed = append(c.blamed, r.Digest)
	t.blamed[r.Digest] = append(t.blamed[r.Digest], c)
}

func (t *Table) find(r Report) *crash {
	for _, c := range t.crashes {
		if c.endpoint == r.Endpoint && c.at.Sub(r.At).Abs() < sameCrash {
			return c
		}
	}
	return nil
}

// Clear forgets the blame of content that finished alone on an endpoint. What
// else was blamed for the same crashes stands out more by that.
func (t *Table) Clear(d ident.Digest) {
	for _, c := range t.blamed[d] {
		c.blamed = slices.DeleteFunc(c.blamed, func(o ident.Digest) bool { return o == d })
	}
	delete(t.blamed, d)
}

// StatusOf returns how the content is to be treated now.
func (t *Table) StatusOf(now time.Time, d ident.Digest) Status {
	if len(t.crashes) == 0 {
		return Normal
	}
	t.expire(now)
	crashes := t.blamed[d]
	alone := slices.ContainsFunc(crashes, func(c *crash) bool { return len(c.blamed) == 1 })
	switch {
	case len(crashes) == 0:
		return Normal
	case len(crashes) > 1 && alone, len(crashes) >= t.config.PoisonCrashes:
		return Poison
	}
	return Suspect
}

// MustRunAlone reports whether the content has to run alone at a service: only
// where it was blamed, since finishing elsewhere says nothing.
func (t *Table) MustRunAlone(now time.Time, d ident.Digest, s ident.Service) bool {
	if t.StatusOf(now, d) == Normal {
		return false
	}
	return slices.ContainsFunc(t.blamed[d], func(c *crash) bool { return c.service == s })
}

// restSpread is by how much the rests of different contents differ at most.
const restSpread = time.Second

// InBackoff reports whether blamed content has to wait: after a second crash the
// others that were blamed with it get the time to finish and to be cleared,
// which shows who it was without a third crash. The rests differ, so that
// suspects that ran together twice do not do so again.
func (t *Table) InBackoff(now time.Time, d ident.Digest) bool {
	crashes := t.blamed[d]
	if len(crashes) < 2 {
		return false
	}
	rest := t.config.Backoff + time.Duration(uint64(d)%uint64(restSpread))
	return now.Sub(crashes[len(crashes)-1].at) < rest
}

// CrashCount returns how many crashes the content is blamed for.
func (t *Table) CrashCount(d ident.Digest) int { return len(t.blamed[d]) }

// LatestReports returns reports of the latest crashes, at most the given number.
func (t *Table) LatestReports(most int) []Report {
	var reports []Report
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		for _, d := range c.blamed {
			if len(reports) == most {
				return reports
			}
			reports = append(reports, Report{Digest: d, Endpoint: c.endpoint, Service: c.service, At: c.at})
		}
	}
	return reports
}

// expire forgets old crashes, and the oldest above the bound.
func (t *Table) expire(now time.Time) {
	for len(t.crashes) > 0 && (now.Sub(t.crashes[0].at) > t.config.Retention || len(t.crashes) > t.config.MaxCrashes) {
		oldest := t.crashes[0]
		t.crashes = t.crashes[1:]
		for _, d := range oldest.blamed {
			t.blamed[d] = slices.DeleteFunc(t.blamed[d], func(c *crash) bool { return c == oldest })
			if len(t.blamed[d]) == 0 {
				delete(t.blamed, d)
			}
		}
	}
}
