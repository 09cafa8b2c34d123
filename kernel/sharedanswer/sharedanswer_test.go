package sharedanswer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// A fixed seed makes rapid generate the same histories in every run, so that CI
// results are repeatable. The command line can override it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var (
	seats = []ident.Instance{"a", "b", "c"}
	key   = ident.Key{Workspace: "w", ID: "same:1"}
	now   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// writer tries to write an answer under one ballot. It reports the answer once
// it is known to be chosen.
type writer struct {
	ballot   Ballot
	quorum   *Quorum
	proposal *outcome.Answer
	reported string
}

func stamp(seat ident.Instance) claim.EpochStamp {
	return claim.EpochStamp{Seat: seat, Epoch: 1, PeerEpochs: map[ident.Instance]ident.Epoch{"a": 1, "b": 1, "c": 1}}
}

// step exchanges one message with a seat and reports the answer if it is chosen.
func (w *writer) step(table *Table, seat ident.Instance) {
	promised, earlier := w.quorum.MajorityPromised()
	if !promised {
		w.quorum.AddPromise(table.Prepare(now, Prepare{Key: key, Ballot: w.ballot}, stamp(seat)))
	} else {
		if w.proposal == nil {
			w.proposal = earlier
		}
		if w.proposal == nil {
			w.proposal = &outcome.Answer{Text: fmt.Sprint(w.ballot)}
		}
		w.quorum.AddAccepted(table.Accept(now, Accept{Key: key, Ballot: w.ballot, Answer: w.proposal}, stamp(seat)))
	}
	if chosen := w.quorum.Chosen(); chosen != nil {
		w.reported = chosen.Text
	} else if w.proposal != nil && w.quorum.MajorityAccepted() {
		w.reported = w.proposal.Text
	}
}

func TestAllReportedAnswersAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := map[ident.Instance]*Table{}
		for _, s := range seats {
			tables[s] = NewTable(Config{MaxEntries: 10})
		}
		var writers []*writer
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				if len(writers) < 6 {
					ballot := Ballot{Number: uint64(rapid.IntRange(1, 4).Draw(t, "number")), Instance: ident.Instance(fmt.Sprint("w", len(writers)))}
					writers = append(writers, &writer{ballot: ballot, quorum: NewQuorum(len(seats), claim.EpochsConsistent)})
				}
			},
			"step": func(t *rapid.T) {
				if len(writers) > 0 {
					s := rapid.SampledFrom(seats).Draw(t, "seat")
					rapid.SampledFrom(writers).Draw(t, "writer").step(tables[s], s)
				}
			},
			"replaceSeat": func(t *rapid.T) {
				s := rapid.SampledFrom(seats).Draw(t, "seat")
				fresh := NewTable(Config{MaxEntries: 10})
				for _, other := range seats {
					if other != s {
						fresh.Merge(tables[other].EntriesMatching(func(ident.Key) bool { return true }))
					}
				}
				for _, w := range writers {
					// The new epoch invalidates the replies of the replaced process.
					delete(w.quorum.promises, s)
					delete(w.quorum.acceptances, s)
				}
				tables[s] = fresh
			},
			"": func(t *rapid.T) {
				first := ""
				for _, w := range writers {
					if w.reported == "" {
						continue
					}
					if first != "" && first != w.reported {
						t.Fatalf("different answers were reported: %q and %q", first, w.reported)
					}
					first = w.reported
				}
			},
		})
	})
}

func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	table := NewTable(Config{MaxEntries: 8})
	for i := range 9 {
		k := ident.Key{ID: ident.RequestID(fmt.Sprint(i))}
		table.Prepare(now.Add(time.Duration(i)*time.Second), Prepare{Key: k, Ballot: Ballot{Number: 1}}, stamp("a"))
	}
	if table.Len() != 8 {
		t.Errorf("the table has %d entries, want 8", table.Len())
	}
	if table.entries[ident.Key{ID: "0"}] != nil {
		t.Error("the least recently used entry was not evicted")
	}
}
