package matrix

import (
	"testing"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
)

// mutation is one wrong decision that the matrix has to notice under the
// named faults.
type mutation struct {
	name   string
	rules  node.SafetyRules
	faults []string
}

var mutations = []mutation{
	{"claimSkipped", node.SafetyRules{MayDispatch: func(bool) bool { return true }}, []string{"resendElsewhere", "none"}},
	{"tombstoneSkipped", node.SafetyRules{KeepTombstone: func() bool { return false }}, []string{"crashEndpoints", "endpointsLeave", "freezeEndpoints", "loseReplies"}},
	{"everythingRepeated", node.SafetyRules{MayRetry: func(node.CallFailure, bool, configuration.DuplicateCheck) bool { return true }}, []string{"loseReply", "crashEndpoints"}},
	{"takenOverFromPausedHolder", node.SafetyRules{MayTakeOver: func(bool) bool { return true }}, []string{"pauseShort", "pauseMinute", "killInstance"}},
	{"repliesMatchedByOrder", node.SafetyRules{MatchCall: oldestCall}, []string{"doubleReplies"}},
	{"streamRestarted", node.SafetyRules{ResumeAt: func(int) int { return 0 }}, []string{"loseReply", "crashEndpoints"}},
	{"streamSkipsToken", node.SafetyRules{ResumeAt: func(received int) int { return max(received-1, 0) }}, []string{"loseReply", "crashEndpoints"}},
	{"quarantineSkipped", node.SafetyRules{EnforceQuarantine: func() bool { return false }}, []string{"poison"}},
}

// oldestCall takes a reply for the call that has waited the longest.
func oldestCall(_ ident.CallID, open []ident.CallID) ident.CallID {
	if len(open) == 0 {
		return 0
	}
	return open[0]
}

func cellsOf(names []string) []cell {
	var cells []cell
	for _, c := range singles(1) {
		for _, name := range names {
			if c.faults[0].name == name {
				cells = append(cells, c)
			}
		}
	}
	return cells
}

func TestMutationsAreCaught(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			cells := cellsOf(m.faults)
			wrong := runAll(cells, m.rules, false)
			right := runAll(cells[:len(cells)/4], node.SafetyRules{}, false)
			t.Logf("right: %s", right.line())
			t.Logf("wrong: %s", wrong.line())
			if right.violations != 0 {
				t.Errorf("the right rules show %d violations: %s", right.violations, right.lines[0])
			}
			if wrong.violations == 0 {
				t.Error("the mutation was not caught")
			}
		})
	}
}

// TestLeaseMutationIsCaught pauses a claimer for longer than the seats
// remember, while its caller sends the request again without any evidence.
func TestLeaseMutationIsCaught(t *testing.T) {
	if runs := pausedPastHorizon(node.SafetyRules{}); runs > 1 {
		t.Errorf("the request ran %d times", runs)
	}
	wrong := node.SafetyRules{LeaseValid: func(_, _ time.Duration) bool { return true }}
	if runs := pausedPastHorizon(wrong); runs < 2 {
		t.Errorf("the mutation was not caught: the request ran %d times", runs)
	}
}

func pausedPastHorizon(rules node.SafetyRules) int {
	d := *documents["wroclaw"]
	d.ResendHorizonMillis = 10_000
	w := newWorld(&d, 1, rules, false)
	w.run(epoch.Add(15 * time.Second))
	aim := w.newRequest("target", d.Pipeline(target["wroclaw"]), "For the lease")
	aim.firstSent = noEvidence
	w.arm(onToken, fault{"pause", func(_ *world, p *process, _ ident.Key) { p.pause(25 * time.Second) }}, aim)
	first := d.Seats()[0]
	aim.submit(first)
	w.clock.After(12*time.Second, func() { aim.submit(d.Seats()[4]) })
	w.run(epoch.Add(2 * time.Minute))
	return len(w.books[aim.key.String()])
}

// TestEpochMutationIsCaught counts the grants of a process that was replaced
// together with those of seats that know its successor.
func TestEpochMutationIsCaught(t *testing.T) {
	if runs := replacedVoterWakes(node.SafetyRules{}); runs > 1 {
		t.Errorf("the request ran %d times", runs)
	}
	wrong := node.SafetyRules{Consistent: func(_, _ *claim.EpochStamp) bool { return true }}
	if runs := replacedVoterWakes(wrong); runs < 2 {
		t.Errorf("the mutation was not caught: the request ran %d times", runs)
	}
}

// replacedVoterWakes lets an old process of a voting seat answer one claimer
// after its successor has answered another, while each claimer reaches only
// one of the other two seats.
func replacedVoterWakes(rules node.SafetyRules) int {
	d := documents["wroclaw"]
	w := newWorld(d, 1, rules, false)
	w.run(epoch.Add(bootTime))
	r := w.newRequest("target", d.Pipeline(target["wroclaw"]), "For the epochs")
	group := claim.VotingGroup(d, r.key)
	old := w.seats[group[0]]
	successor := w.start(group[0])
	w.run(w.now().Add(2 * time.Second))
	r.firstSent = w.now()
	reach := func(from ident.Instance, other ident.Instance, voter *process) {
		w.filter = func(sender *process, to ident.Instance) *process {
			switch {
			case to == group[0] && sender.seat == from:
				return voter
			case sender.seat == from && (to == group[1] || to == group[2]) && to != other:
				return nil
			}
			return w.seats[to]
		}
		r.submit(from)
		w.run(w.now().Add(3 * time.Second))
	}
	var free []ident.Instance
	for _, seat := range d.Seats() {
		if seat != group[0] && seat != group[1] && seat != group[2] {
			free = append(free, seat)
		}
	}
	reach(free[0], group[1], old)
	reach(free[1], group[2], successor)
	return len(w.books[r.key.String()])
}

// TestNaiveVersion compares the outcomes with a version that retries anywhere
// and remembers nothing.
func TestNaiveVersion(t *testing.T) {
	t.Run("same answers without faults", func(t *testing.T) {
		for _, deployment := range []string{"wroclaw", "pelletier"} {
			ours := oneOfEach(deployment, false)
			naive := oneOfEach(deployment, true)
			for key, text := range ours {
				if naive[key] != text {
					t.Errorf("%s: %q, naive %q", key, text, naive[key])
				}
			}
		}
	})
	t.Run("violations counted under faults", func(t *testing.T) {
		var cells []cell
		for i, c := range singles(1) {
			if i%24 == 0 || i%24 == 2 {
				c.tickets = false
				cells = append(cells, c)
			}
		}
		ours := runAll(cells, node.SafetyRules{}, false)
		naive := runAll(cells, node.SafetyRules{}, true)
		t.Logf("ours:  %s", ours.line())
		t.Logf("naive: %s", naive.line())
		if ours.violations != 0 {
			t.Errorf("ours has %d violations", ours.violations)
		}
		if naive.violations == 0 {
			t.Error("the naive version shows no violation; the checks find nothing")
		}
	})
}

// oneOfEach sends one request through each pipeline, to directories whose
// replicas agree, and returns the texts and last outputs.
func oneOfEach(deployment string, naive bool) map[string]string {
	w := newWorld(documents[deployment], 1, node.SafetyRules{}, naive)
	w.agreeing = true
	w.run(epoch.Add(bootTime))
	for i := range w.document.Pipelines {
		p := &w.document.Pipelines[i]
		w.newRequest(string(p.Name), p, "Body of "+string(p.Name)).submit(w.anySeat())
	}
	w.run(epoch.Add(bootTime + time.Minute))
	answers := map[string]string{}
	for _, r := range w.requests {
		if r.attempts[0].answer == nil {
			answers[r.key.String()] = "unanswered"
			continue
		}
		answers[r.key.String()] = string(r.attempts[0].answer.Outcome) + " " + r.attempts[0].answer.Text
	}
	return answers
}
