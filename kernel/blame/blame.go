// Package blame finds requests that crash the endpoints that run them. A
// crash blames every request that ran there; what is blamed is run alone, and
// what crashes an endpoint alone is quarantined. Requests are recognised by
// content, because a caller sends a crashing request again under a new id.
package blame

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Standing is how a request's content is treated.
type Standing int

// The standings.
const (
	// Innocent content runs normally.
	Innocent Standing = iota
	// Suspect content runs alone on one endpoint.
	Suspect
	// Guilty content is quarantined.
	Guilty
)

// Config sets up a Table.
type Config struct {
	// Keep is how long blame is remembered after the latest crash.
	Keep time.Duration
	// MaxEntries bounds the table; at the bound the oldest blame is dropped.
	MaxEntries int
	// GuiltyCrashes is the number of crashes that quarantines content which
	// never crashed an endpoint alone.
	GuiltyCrashes int
}

type entry struct {
	crashes map[uint64]bool
	alone   bool
	latest  time.Time
}

// Table remembers which contents were blamed.
type Table struct {
	config  Config
	entries map[ident.Digest]*entry
	order   []ident.Digest
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	return &Table{config: c, entries: map[ident.Digest]*entry{}}
}

// Crash records that an endpoint died while the content ran on it. The crash
// number identifies the event, so that a doubled report counts once.
func (t *Table) Crash(now time.Time, d ident.Digest, crash uint64, alone bool) {
	e := t.entries[d]
	if e == nil {
		t.makeRoom()
		e = &entry{crashes: map[uint64]bool{}}
		t.entries[d] = e
		t.order = append(t.order, d)
	}
	e.crashes[crash] = true
	e.alone = e.alone || alone
	e.latest = now
}

// Clear forgets the blame of content that finished while it ran alone.
// Content that crashed an endpoint alone is not cleared.
func (t *Table) Clear(d ident.Digest) {
	if e := t.entries[d]; e != nil && !e.alone {
		delete(t.entries, d)
	}
}

// Standing returns how the content is to be treated now.
func (t *Table) Standing(now time.Time, d ident.Digest) Standing {
	e := t.entries[d]
	if e == nil {
		return Innocent
	}
	if now.Sub(e.latest) > t.config.Keep {
		delete(t.entries, d)
		return Innocent
	}
	if len(e.crashes) > 1 && e.alone || len(e.crashes) >= t.config.GuiltyCrashes {
		return Guilty
	}
	return Suspect
}

// Report is one blamed content as another instance may learn it.
type Report struct {
	Digest  ident.Digest `json:"digest"`
	Crashes []uint64     `json:"crashes"`
	Alone   bool         `json:"alone"`
}

// Latest returns the most recently added blame, at most the given number.
func (t *Table) Latest(most int) []Report {
	var reports []Report
	for i := len(t.order) - 1; i >= 0 && len(reports) < most; i-- {
		if e := t.entries[t.order[i]]; e != nil {
			reports = append(reports, Report{Digest: t.order[i], Crashes: value.SortedKeys(e.crashes), Alone: e.alone})
		}
	}
	return reports
}

// Learn takes over another instance's reports.
func (t *Table) Learn(now time.Time, reports []Report) {
	for _, r := range reports {
		for _, crash := range r.Crashes {
			t.Crash(now, r.Digest, crash, r.Alone)
		}
	}
}

// Len returns the number of blamed contents.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) makeRoom() {
	for len(t.entries) >= t.config.MaxEntries && len(t.order) > 0 {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}
