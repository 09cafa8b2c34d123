package matrix

import (
	"testing"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
)

// mutation replaces one safety rule by a wrong one. The matrix has to report
// violations under at least one of the named faults.
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

// oldestCall matches every reply to the call that was sent first.
func oldestCall(_ ident.CallID, open []ident.CallID) ident.CallID {
	if len(open) == 0 {
		return 0
	}
	return open[0]
}

// cellsWithFaults returns the single-fault cells of the named faults.
func cellsWithFaults(faultNames []string) []cell {
	var cells []cell
	for _, c := range singleFaultCells(1) {
		for _, name := range faultNames {
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
			cells := cellsWithFaults(m.faults)
			mutated := runAll(cells, m.rules, false)
			baseline := runAll(cells[:len(cells)/4], node.SafetyRules{}, false)
			t.Logf("baseline: %s", baseline.summary())
			t.Logf("mutated:  %s", mutated.summary())
			if baseline.violations != 0 {
				t.Errorf("the unmodified rules show %d violations: %s", baseline.violations, baseline.violationLines[0])
			}
			if mutated.violations == 0 {
				t.Error("the mutation was not caught")
			}
		})
	}
}

// TestLeaseMutationIsCaught guards against a claimer that dispatches after its
// claim has expired. The claimer is paused for longer than the voting seats keep
// the claim, and its caller resends the request without stating when it was
// first sent, so the seats grant the key again.
func TestLeaseMutationIsCaught(t *testing.T) {
	if runs := runsAfterPausePastHorizon(node.SafetyRules{}); runs > 1 {
		t.Errorf("the request ran %d times", runs)
	}
	mutated := node.SafetyRules{LeaseValid: func(_, _ time.Duration) bool { return true }}
	if runs := runsAfterPausePastHorizon(mutated); runs < 2 {
		t.Errorf("the mutation was not caught: the request ran %d times", runs)
	}
}

// runsAfterPausePastHorizon returns how often a request ran whose claimer was
// paused past the resend horizon.
func runsAfterPausePastHorizon(rules node.SafetyRules) int {
	d := *documents["wroclaw"]
	d.ResendHorizonMillis = 10_000
	sm := newSimulation(&d, 1, rules, false)
	sm.advanceTo(simulationStart.Add(15 * time.Second))
	target := sm.newRequest("target", d.Pipeline(targetPipelineName["wroclaw"]), "For the lease")
	target.firstSent = unknownFirstSent
	sm.injectAt(onToken, fault{"pause", func(_ *sim, p *process, _ ident.Key) { p.pause(25 * time.Second) }}, target)
	first := d.Seats()[0]
	target.submit(first)
	sm.clock.After(12*time.Second, func() { target.submit(d.Seats()[4]) })
	sm.advanceTo(simulationStart.Add(2 * time.Minute))
	return len(sm.executions[target.key.String()])
}

// TestEpochMutationIsCaught guards against a majority that counts the vote of a
// replaced process together with votes of seats that know its successor.
func TestEpochMutationIsCaught(t *testing.T) {
	if runs := runsWithStaleVoter(node.SafetyRules{}); runs > 1 {
		t.Errorf("the request ran %d times", runs)
	}
	mutated := node.SafetyRules{Consistent: func(_, _ *claim.EpochStamp) bool { return true }}
	if runs := runsWithStaleVoter(mutated); runs < 2 {
		t.Errorf("the mutation was not caught: the request ran %d times", runs)
	}
}

// runsWithStaleVoter returns how often a request ran that two instances claim.
// At one of the three voting seats, the first claimer reaches the replaced
// process and the second one its successor; each reaches just one of the other
// two voting seats.
func runsWithStaleVoter(rules node.SafetyRules) int {
	d := documents["wroclaw"]
	sm := newSimulation(d, 1, rules, false)
	sm.advanceTo(simulationStart.Add(startupTime))
	r := sm.newRequest("target", d.Pipeline(targetPipelineName["wroclaw"]), "For the epochs")
	group := claim.VotingGroup(d, r.key)
	old := sm.seats[group[0]]
	successor := sm.start(group[0])
	sm.advanceTo(sm.now().Add(2 * time.Second))
	r.firstSent = sm.now()
	submitReaching := func(from ident.Instance, reachable ident.Instance, voterProcess *process) {
		sm.redirect = func(sender *process, to ident.Instance) *process {
			switch {
			case to == group[0] && sender.seat == from:
				return voterProcess
			case sender.seat == from && (to == group[1] || to == group[2]) && to != reachable:
				return nil
			}
			return sm.seats[to]
		}
		r.submit(from)
		sm.advanceTo(sm.now().Add(3 * time.Second))
	}
	var nonVoters []ident.Instance
	for _, seat := range d.Seats() {
		if seat != group[0] && seat != group[1] && seat != group[2] {
			nonVoters = append(nonVoters, seat)
		}
	}
	submitReaching(nonVoters[0], group[1], old)
	submitReaching(nonVoters[1], group[2], successor)
	return len(sm.executions[r.key.String()])
}

// TestNaiveVersion compares the kernel with a naive version that retries on any
// endpoint and stores nothing. Without faults the answers must be equal. Under
// faults the naive version must show violations, which proves that the checks
// detect them, and the kernel none.
func TestNaiveVersion(t *testing.T) {
	t.Run("same answers without faults", func(t *testing.T) {
		for _, deployment := range []string{"wroclaw", "pelletier"} {
			actual := answerPerPipeline(deployment, false)
			naive := answerPerPipeline(deployment, true)
			for key, text := range actual {
				if naive[key] != text {
					t.Errorf("%s: %q, naive %q", key, text, naive[key])
				}
			}
		}
	})
	t.Run("violations counted under faults", func(t *testing.T) {
		var cells []cell
		for i, c := range singleFaultCells(1) {
			if i%24 == 0 || i%24 == 2 {
				c.tickets = false
				cells = append(cells, c)
			}
		}
		actual := runAll(cells, node.SafetyRules{}, false)
		naive := runAll(cells, node.SafetyRules{}, true)
		t.Logf("actual: %s", actual.summary())
		t.Logf("naive:  %s", naive.summary())
		if actual.violations != 0 {
			t.Errorf("the actual kernel shows %d violations", actual.violations)
		}
		if naive.violations == 0 {
			t.Error("the naive version shows no violation, so the checks detect nothing")
		}
	})
}

// answerPerPipeline sends one request through each pipeline, with look-up
// services whose replicas agree, and returns the outcome and text of each first
// answer by request key.
func answerPerPipeline(deployment string, naive bool) map[string]string {
	sm := newSimulation(documents[deployment], 1, node.SafetyRules{}, naive)
	sm.replicasAgree = true
	sm.advanceTo(simulationStart.Add(startupTime))
	for i := range sm.document.Pipelines {
		p := &sm.document.Pipelines[i]
		sm.newRequest(string(p.Name), p, "Body of "+string(p.Name)).submit(sm.pickSeat())
	}
	sm.advanceTo(simulationStart.Add(startupTime + time.Minute))
	answers := map[string]string{}
	for _, r := range sm.requests {
		if r.attempts[0].answer == nil {
			answers[r.key.String()] = "unanswered"
			continue
		}
		answers[r.key.String()] = string(r.attempts[0].answer.Outcome) + " " + r.attempts[0].answer.Text
	}
	return answers
}
