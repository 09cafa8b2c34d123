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

// A fixed seed makes rapid generate the same histories in every run, so that CI
// results are repeatable. The command line can override it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seats  = []ident.Instance{"a", "b", "c"}
	key    = ident.Key{Workspace: "w", ID: "1"}
	bounds = TimeBounds{ResendHorizon: 10 * time.Minute, ClockSkew: time.Second}
)

// history simulates several claimers of one key and three voting seats. Seats
// get new processes while a replaced process may go on voting.
type history struct {
	now             time.Time
	firstSent       time.Time
	voters          map[ident.Instance]*Voter
	replacedVoters  []*Voter
	claimers        []*claimer
	lastIncarnation ident.Incarnation
}

// claimer is one attempt to claim the key.
type claimer struct {
	holder   Holder
	tally    *Tally
	won      bool
	released bool
}

func groupOf(ident.Key) []ident.Instance { return seats }

func newHistory() *history {
	h := &history{now: start, firstSent: start.Add(time.Minute), voters: map[ident.Instance]*Voter{}}
	for _, s := range seats {
		h.replaceSeat(s)
	}
	for _, s := range seats {
		h.syncSeat(s)
	}
	h.now = h.firstSent
	return h
}

// replaceSeat starts a new process without records for the seat. The replaced
// process of seat a is kept, since it may still vote.
func (h *history) replaceSeat(s ident.Instance) {
	if v := h.voters[s]; v != nil && s == "a" {
		h.replacedVoters = append(h.replacedVoters, v)
	}
	h.lastIncarnation++
	v := NewVoter(VoterConfig{Seat: s, Incarnation: h.lastIncarnation, Start: h.now, MaxRecords: 100, MaxAnswerBytes: 1000})
	v.SetSeats(seats, bounds)
	h.voters[s] = v
}

// syncSeat registers the seat with the others until all have sent their records.
func (h *history) syncSeat(s ident.Instance) {
	v := h.voters[s]
	for round := 0; round < 4 && len(v.UnsyncedSeats()) > 0; round++ {
		for _, other := range v.UnsyncedSeats() {
			if reply, ok := h.voters[other].HandleRegistration(h.now, v.Registration(), groupOf); ok && v.HandleSync(reply) {
				break
			}
		}
	}
}

// requestVote lets the voter vote on the claim and updates whether it is won.
func (h *history) requestVote(c *claimer, v *Voter) {
	if c.won || c.released {
		return
	}
	c.tally.Add(v.Vote(h.now, Request{Key: key, Digest: 1, Holder: c.holder, FirstSent: h.firstSent}, seats))
	decision, _ := c.tally.Decide()
	c.won = decision == Won
}

func TestAtMostOneClaimerWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		seat := rapid.SampledFrom(seats)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				if len(h.claimers) < 5 {
					holder := Holder{Instance: ident.Instance(fmt.Sprint("claimer", len(h.claimers))), Incarnation: 1, Attempt: uint64(len(h.claimers) + 1)}
					h.claimers = append(h.claimers, &claimer{holder: holder, tally: NewTally(seats)})
				}
			},
			"ask": func(t *rapid.T) {
				if len(h.claimers) > 0 {
					h.requestVote(rapid.SampledFrom(h.claimers).Draw(t, "claimer"), h.voters[seat.Draw(t, "seat")])
				}
			},
			"askOldProcess": func(t *rapid.T) {
				// Only seat a keeps replaced processes: votes by replaced
				// processes of two seats are outside the stated guarantee.
				if len(h.claimers) > 0 && len(h.replacedVoters) > 0 {
					h.requestVote(rapid.SampledFrom(h.claimers).Draw(t, "claimer"), rapid.SampledFrom(h.replacedVoters).Draw(t, "process"))
				}
			},
			"release": func(t *rapid.T) {
				if len(h.claimers) == 0 {
					return
				}
				c := rapid.SampledFrom(h.claimers).Draw(t, "claimer")
				if c.won {
					return
				}
				c.released = true
				for _, s := range seats {
					if rapid.Bool().Draw(t, "arrives") {
						h.voters[s].Release(key, c.holder)
					}
				}
			},
			"replace": func(t *rapid.T) { h.replaceSeat(seat.Draw(t, "seat")) },
			"recover": func(t *rapid.T) { h.syncSeat(seat.Draw(t, "seat")) },
			"wait": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				winners := 0
				for _, c := range h.claimers {
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

func TestSettledAnswerSurvivesReplacement(t *testing.T) {
	h := newHistory()
	c := &claimer{holder: Holder{Instance: "x", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	h.requestVote(c, h.voters["a"])
	h.requestVote(c, h.voters["b"])
	if !c.won {
		t.Fatal("the claim is not won with two grants")
	}
	answer := &outcome.Answer{ID: "1", Outcome: outcome.Whole, Text: "kept"}
	h.voters["a"].Settle(h.now, Record{Key: key, Digest: 1, Holder: c.holder, Answer: answer})
	h.replaceSeat("a")
	h.syncSeat("a")
	if v := h.voters["a"].Vote(h.now, Request{Key: key, Digest: 1, FirstSent: h.firstSent}, seats); v.Verdict != Held {
		t.Errorf("a replaced seat votes %s on a key that is held at another seat", v.Verdict)
	}
	h.voters["b"].Settle(h.now, Record{Key: key, Digest: 1, Holder: c.holder, Answer: answer})
	h.replaceSeat("c")
	h.syncSeat("c")
	if v := h.voters["c"].Vote(h.now, Request{Key: key, Digest: 1, FirstSent: h.firstSent}, seats); v.Verdict != Settled || v.Record.Answer.Text != "kept" {
		t.Errorf("a replaced seat votes %s on a settled key, want settled with the kept answer", v.Verdict)
	}
}

// TestCopiedRecordIsNoProofOfGrant guards against a second winner: the two seats
// that granted the key are replaced, and recover only the record of the third,
// which names the losing claimer as the holder.
func TestCopiedRecordIsNoProofOfGrant(t *testing.T) {
	h := newHistory()
	loser := &claimer{holder: Holder{Instance: "x", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	winner := &claimer{holder: Holder{Instance: "y", Incarnation: 1, Attempt: 1}, tally: NewTally(seats)}
	h.requestVote(loser, h.voters["c"])
	h.requestVote(winner, h.voters["a"])
	h.requestVote(winner, h.voters["b"])
	if !winner.won {
		t.Fatal("the claim is not won with two grants")
	}
	h.replaceSeat("a")
	h.replaceSeat("b")
	h.syncSeat("a")
	h.syncSeat("b")
	for _, s := range seats {
		h.requestVote(loser, h.voters[s])
	}
	if loser.won {
		t.Error("a second claimer won the key after both granting seats were replaced")
	}
}
