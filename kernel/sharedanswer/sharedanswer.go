// Package sharedanswer keeps one answer for all equal requests, so that they get
// the same answer from every instance. Requests are equal if they have the same
// workspace, pipeline and body; only pipelines with SharesAnswer share answers.
// Three seats, selected by hashing the shared answer's key, store it in memory.
// The id in that key is not a caller's: package node derives it from the pipeline
// and the digest of the request.
//
// A ballot that a majority promised may write an answer; if an earlier ballot may
// have had one accepted, it has to write that one. This is single-decree Paxos
// among the seats of one key, without a log, a leader or maintenance. The
// guarantee holds as long as no two of the three seats lose their memory before
// either has recovered.
package sharedanswer

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// Ballot identifies one attempt of one process to write an answer.
type Ballot struct {
	Number      uint64            `json:"number"`
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Compare orders ballots by number, and equal numbers by instance and
// incarnation.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Instance, other.Instance), cmp.Compare(b.Incarnation, other.Incarnation))
}

// Prepare asks a seat to promise that it will not accept lower ballots.
type Prepare struct {
	Key    ident.Key `json:"key"`
	Ballot Ballot    `json:"ballot"`
}

// Promise answers a Prepare. Granted or not, it reports the answer that the seat
// has accepted.
type Promise struct {
	Key    ident.Key `json:"key"`
	Ballot Ballot    `json:"ballot"`
	claim.EpochStamp
	Granted bool `json:"granted"`
	// Promised is the highest ballot that the seat has promised.
	Promised Ballot `json:"promised"`
	// Accepted and Answer are set when the seat has accepted an answer.
	Accepted Ballot          `json:"accepted"`
	Answer   *outcome.Answer `json:"answer,omitempty"`
}

// Accept asks a seat to accept an answer.
type Accept struct {
	Key    ident.Key       `json:"key"`
	Ballot Ballot          `json:"ballot"`
	Answer *outcome.Answer `json:"answer"`
}

// Accepted answers an Accept.
type Accepted struct {
	Key    ident.Key `json:"key"`
	Ballot Ballot    `json:"ballot"`
	claim.EpochStamp
	Granted  bool   `json:"granted"`
	Promised Ballot `json:"promised"`
}

// Entry is what a seat stores for one shared answer. The id of Key, here and in
// the messages, is "same:", the pipeline and the digest, joined by ":".
type Entry struct {
	Key      ident.Key       `json:"key"`
	Promised Ballot          `json:"promised"`
	Accepted Ballot          `json:"accepted"`
	Answer   *outcome.Answer `json:"answer,omitempty"`
	LastUsed time.Time       `json:"used"`
}

// Config configures a Table.
type Config struct {
	// MaxEntries bounds the table. At the bound the least recently used
	// entries are evicted.
	MaxEntries int
}

// Table holds the entries of one seat.
type Table struct {
	config  Config
	entries map[ident.Key]*Entry
}

// NewTable returns an empty table.
func NewTable(c Config) *Table { return &Table{config: c, entries: map[ident.Key]*Entry{}} }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Prepare promises the ballot unless a higher one was promised. The stamp is
// sent with the reply.
func (t *Table) Prepare(now time.Time, m Prepare, s claim.EpochStamp) Promise {
	e := t.entryFor(now, m.Key)
	granted := m.Ballot.Compare(e.Promised) >= 0
	if granted {
		e.Promised = m.Ballot
	}
	return Promise{Key: m.Key, Ballot: m.Ballot, EpochStamp: s, Granted: granted, Promised: e.Promised, Accepted: e.Accepted, Answer: e.Answer}
}

// Accept stores the answer unless a higher ballot was promised. The stamp is
// sent with the reply.
func (t *Table) Accept(now time.Time, m Accept, s claim.EpochStamp) Accepted {
	e := t.entryFor(now, m.Key)
	granted := m.Ballot.Compare(e.Promised) >= 0
	if granted {
		e.Promised = m.Ballot
		e.Accepted = m.Ballot
		e.Answer = m.Answer
	}
	return Accepted{Key: m.Key, Ballot: m.Ballot, EpochStamp: s, Granted: granted, Promised: e.Promised}
}

// entryFor returns the entry of a key and marks it as used. It creates the entry
// if there is none.
func (t *Table) entryFor(now time.Time, key ident.Key) *Entry {
	e := t.entries[key]
	if e == nil {
		t.evictLeastRecentlyUsed()
		e = &Entry{Key: key}
		t.entries[key] = e
	}
	e.LastUsed = now
	return e
}

// evictLeastRecentlyUsed drops the least recently used eighth of a full table.
// Dropping many at once spreads the cost of sorting over many insertions.
func (t *Table) evictLeastRecentlyUsed() {
	if len(t.entries) < t.config.MaxEntries {
		return
	}
	all := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int {
		return cmp.Or(a.LastUsed.Compare(b.LastUsed), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	for _, e := range all[:max(len(all)/8, 1)] {
		delete(t.entries, e.Key)
	}
}

// EntriesMatching returns copies of the entries whose key matches, in the order
// of their keys.
func (t *Table) EntriesMatching(matches func(ident.Key) bool) []Entry {
	var entries []Entry
	for _, e := range t.entries {
		if matches(e.Key) {
			entries = append(entries, *e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	return entries
}

// Merge adds the entries of another seat. The higher promise and the answer
// accepted under the higher ballot are kept.
func (t *Table) Merge(entries []Entry) {
	for i := range entries {
		received := &entries[i]
		e := t.entryFor(received.LastUsed, received.Key)
		if received.Promised.Compare(e.Promised) > 0 {
			e.Promised = received.Promised
		}
		if received.Answer != nil && received.Accepted.Compare(e.Accepted) > 0 {
			e.Accepted = received.Accepted
			e.Answer = received.Answer
		}
	}
}
