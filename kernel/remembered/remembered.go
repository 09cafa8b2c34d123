// Package remembered keeps one answer for each look-up content, so that the
// same look-up says the same everywhere. Three seats, computed from the
// content, hold the answer in memory; a ballot that a majority promised may
// write it, and has to write what an earlier ballot may have got accepted.
// That is single-decree consensus among the seats of one key: no log, no
// leader, and nothing to look after. The promise lasts as long as no two of
// the three seats lose their memory before either has recovered.
package remembered

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// Ballot is one attempt of one process to write an answer.
type Ballot struct {
	Number      uint64            `json:"number"`
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Compare orders ballots by number; the writer breaks ties.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Instance, other.Instance), cmp.Compare(b.Incarnation, other.Incarnation))
}

// Prepare asks a seat to promise that no lower ballot will write any more.
type Prepare struct {
	Key    ident.Key `json:"key"`
	Ballot Ballot    `json:"ballot"`
}

// Promise answers a Prepare. It tells what the seat has accepted in any case.
type Promise struct {
	Key    ident.Key `json:"key"`
	Ballot Ballot    `json:"ballot"`
	claim.EpochStamp
	Granted bool `json:"granted"`
	// Promised is the ballot that the seat is bound to now.
	Promised Ballot `json:"promised"`
	// Accepted and Answer are set when the seat holds an answer.
	Accepted Ballot          `json:"accepted"`
	Answer   *outcome.Answer `json:"answer,omitempty"`
}

// Accept asks a seat to hold an answer.
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

// Entry is what a seat remembers for one content.
type Entry struct {
	Key      ident.Key       `json:"key"`
	Promised Ballot          `json:"promised"`
	Accepted Ballot          `json:"accepted"`
	Answer   *outcome.Answer `json:"answer,omitempty"`
	LastUsed time.Time       `json:"used"`
}

// Config sets up a Table.
type Config struct {
	// MaxEntries bounds the table. At the bound the answer that was not
	// asked for the longest is forgotten.
	MaxEntries int
}

// Table holds the registers of one seat.
type Table struct {
	config    Config
	registers map[ident.Key]*Entry
}

// NewTable returns an empty table.
func NewTable(c Config) *Table { return &Table{config: c, registers: map[ident.Key]*Entry{}} }

// Len returns the number of remembered answers and promises.
func (t *Table) Len() int { return len(t.registers) }

// Prepare promises to the ballot unless a higher one was promised.
func (t *Table) Prepare(now time.Time, m Prepare, s claim.EpochStamp) Promise {
	r := t.touch(now, m.Key)
	granted := m.Ballot.Compare(r.Promised) >= 0
	if granted {
		r.Promised = m.Ballot
	}
	return Promise{Key: m.Key, Ballot: m.Ballot, EpochStamp: s, Granted: granted, Promised: r.Promised, Accepted: r.Accepted, Answer: r.Answer}
}

// Accept holds the answer unless a higher ballot was promised.
func (t *Table) Accept(now time.Time, m Accept, s claim.EpochStamp) Accepted {
	r := t.touch(now, m.Key)
	granted := m.Ballot.Compare(r.Promised) >= 0
	if granted {
		r.Promised = m.Ballot
		r.Accepted = m.Ballot
		r.Answer = m.Answer
	}
	return Accepted{Key: m.Key, Ballot: m.Ballot, EpochStamp: s, Granted: granted, Promised: r.Promised}
}

func (t *Table) touch(now time.Time, key ident.Key) *Entry {
	r := t.registers[key]
	if r == nil {
		t.makeRoom()
		r = &Entry{Key: key}
		t.registers[key] = r
	}
	r.LastUsed = now
	return r
}

// makeRoom forgets the eighth of the answers that were not asked for the
// longest, so that the cost of sorting is spread over many insertions.
func (t *Table) makeRoom() {
	if len(t.registers) < t.config.MaxEntries {
		return
	}
	all := make([]*Entry, 0, len(t.registers))
	for _, r := range t.registers {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Entry) int {
		return cmp.Or(a.LastUsed.Compare(b.LastUsed), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	for _, r := range all[:max(len(all)/8, 1)] {
		delete(t.registers, r.Key)
	}
}

// EntriesMatching returns copies of the registers that a seat's group function admits.
func (t *Table) EntriesMatching(admits func(ident.Key) bool) []Entry {
	var shared []Entry
	for _, r := range t.registers {
		if admits(r.Key) {
			shared = append(shared, *r)
		}
	}
	slices.SortFunc(shared, func(a, b Entry) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	return shared
}

// Merge merges what another seat remembers: the highest promise and the
// highest accepted answer.
func (t *Table) Merge(registers []Entry) {
	for i := range registers {
		in := &registers[i]
		r := t.touch(in.LastUsed, in.Key)
		if in.Promised.Compare(r.Promised) > 0 {
			r.Promised = in.Promised
		}
		if in.Answer != nil && in.Accepted.Compare(r.Accepted) > 0 {
			r.Accepted = in.Accepted
			r.Answer = in.Answer
		}
	}
}
