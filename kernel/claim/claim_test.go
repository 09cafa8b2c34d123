package claim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// The histories are the same in every run unless the command line says
// otherwise, so that CI gives the same verdict every time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seats = []ident.Instance{"a", "b", "c"}
	key   = ident.Key{Workspace: "w", ID: "1"}
	rules = TimeBounds{ResendHorizon: 10 * time.Minute, ClockSkew: time.Second}
)

// history is a random history of three voting seats, whose processes are
// replaced and wake up again, and of several claimers of one key.
type history struct {
	now     time.Time
	first   time.Time
	current map[ident.Instance]*Voter
	old     []*Voter
	claims  []*claimer
	serial  ident.Incarnation
}

type claimer struct {
	holder Holder
	tally  *Tally
	won    bool
	gone   bool
}

func groupOf(ident.Key) []ident.Instance { return seats }

func newHistory() *history {
	h := &history{now: start, first: start.Add(time.Minute), current: map[ident.Instance]*Voter{}}
	for _, s := range seats {
		h.replace(s)
	}
	for _, s := range seats {
		h.recover(s)
	}
	h.now = h.first
	return h
}

func (h *history) replace(s ident.Instance) {
	if m := h.current[s]; m != nil && s == "a" {
		h.old = append(h.old, m)
	}
	h.serial++
	m := NewVoter(VoterConfig{Seat: s, Incarnation: h.serial, Start: h.now, MaxRecords: 100, MaxAnswerBytes: 1000})
	m.SetSeats(seats, rules)
	h.current[s] = m
}

// recover exchanges registrations until the seat has heard from the others.
func (h *history) recover(s ident.Instance) {
	m := h.current[s]
	for round := 0; round < 4 && len(m.UnsyncedSeats()) > 0; round++ {
		for _, other := range m.UnsyncedSeats() {
			if reply, ok := h.current[other].HandleRegistration(h.now, m.Registration(), groupOf); ok && m.HandleSync(reply) {
				break
			}
		}
	}
}

func (h *history) ask(c *claimer, m *Voter) {
	if c.won || c.gone {
		return
	}
	c.tally.Add(m.Vote(h.now, Request{Key: key, Digest: 1, Holder: c.holder, FirstSent: h.first}, seats))
	decision, _ := c.tally.Decide()
	c.won = decision == Won
}

func TestAtMostOneClaimerWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		seat := rapid.SampledFrom(seats)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				if len(h.claims) < 5 {
					holder := Holder{Instance: ident.Instance(fmt.Sprint("claimer", len(h.claims))), Incarnation: 1, Attempt: uint64(len(h.claims) + 1)}
					h.claims = append(h.claims, &claimer{holder: holder, tally: NewTally(seats)})
				}
			},
			"ask": func(t *rapid.T) {
				if len(h.claims) > 0 {
					h.ask(rapid.SampledFrom(h.claims).Draw(t, "claimer"), h.current[seat.Draw(t, "seat")])
				}
			},
			"askOldProcess": func(t *rapid.T) {
				// Old processes of one seat only: two seats whose old processes
				// both go on are beyond the stated limit.
				if len(h.claims) > 0 && len(h.old) > 0 {
					h.ask(rapid.SampledFrom(h.claims).Draw(t, "claimer"), rapid.SampledFrom(h.old).Draw(t, "process"))
				}
			},
			"release": func(t *rapid.T) {
				if len(h.claims) == 0 {
					return
				}
				c := rapid.SampledFrom(h.claims).Draw(t, "claimer")
				if c.won {
					return
				}
				c.gone = true
				for _, s := range seats {
					if rapid.Bool().Draw(t, "arrives") {
						h.current[s].Release(key, c.holder)
					}
				}
			},
			"replace": func(t *rapid.T) { h.replace(seat.Draw(t, "seat")) },
			"recover": func(t *rapid.T) { h.recover(seat.Draw(t, "seat")) },
			"wait": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				winners := 0
				for _, c := range h.claims {
					if c.won {
						winners++
					}
				}
				if winners > 1 {
					t.Fatalf("%d claimers won", winners)
				}
			},
		})
	})
}

func TestSettledAnswerIsKept(t *testing.T) {
	h := newHistory()
	c := &claimer{holder: Holder{Instance: "x", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	h.ask(c, h.current["a"])
	h.ask(c, h.current["b"])
	if !c.won {
		t.Fatal("two grants do not win")
	}
	answer := &outcome.Answer{ID: "1", Outcome: outcome.Whole, Text: "kept"}
	h.current["a"].Settle(h.now, Record{Key: key, Digest: 1, Holder: c.holder, Answer: answer})
	h.replace("a")
	h.recover("a")
	if v := h.current["a"].Vote(h.now, Request{Key: key, Digest: 1, FirstSent: h.first}, seats); v.Verdict != Held {
		t.Errorf("a replaced seat says %s for a key that another seat holds", v.Verdict)
	}
	h.current["b"].Settle(h.now, Record{Key: key, Digest: 1, Holder: c.holder, Answer: answer})
	h.replace("c")
	h.recover("c")
	if v := h.current["c"].Vote(h.now, Request{Key: key, Digest: 1, FirstSent: h.first}, seats); v.Verdict != Settled || v.Record.Answer.Text != "kept" {
		t.Errorf("a replaced seat says %s for a settled key", v.Verdict)
	}
}

// TestLearntRecordIsNoProof is the shrunk history of a failure: the two seats
// that granted a key are replaced, and one of them learns from the third that
// somebody else holds the key there.
func TestLearntRecordIsNoProof(t *testing.T) {
	h := newHistory()
	loser := &claimer{holder: Holder{Instance: "x", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	winner := &claimer{holder: Holder{Instance: "y", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	h.ask(loser, h.current["c"])
	h.ask(winner, h.current["a"])
	h.ask(winner, h.current["b"])
	if !winner.won {
		t.Fatal("two grants do not win")
	}
	h.replace("a")
	h.replace("b")
	h.recover("a")
	h.recover("b")
	for _, s := range seats {
		h.ask(loser, h.current[s])
	}
	if loser.won {
		t.Error("a second claimer won the key")
	}
}
