package gateway

import (
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
)

// submissions sends a request of the given kind to a gateway whose registry pool has its batcher
// on another instance, and returns what that one gets.
func submissions(t *testing.T, policy AdmissionPolicy, path string, pieces []int) []message.StageWork {
	t.Helper()
	tg := newConfigured(t)
	tg.gateway.config.Admission = policy
	tg.gateway.members.RecordPing(tg.timers.Now(), membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, false)
	for _, s := range []ident.Service{"registry", "planning"} {
		tg.gateway.batcherCache[ident.Pool{Service: s}] = "two"
	}
	tg.peers = nil
	tg.sendRequest(path, func(c *CallerRequest) { c.PieceCounts = pieces })
	var work []message.StageWork
	for _, p := range tg.peers {
		if p.message.StageWork != nil {
			work = append(work, *p.message.StageWork)
		}
	}
	return work
}

// The batcher of the first stage can only admit a whole request if it learns what the later
// stages need and whose the request is.
func TestFirstStageSaysWhatLaterOnesNeed(t *testing.T) {
	work := submissions(t, AdmissionPipeline, "/verse/", []int{1, 4})
	if len(work) != 1 {
		t.Fatalf("submitted %+v, want the first stage", work)
	}
	w := work[0]
	if !slices.Equal(w.DownstreamServices, []ident.Service{"planning"}) || !slices.Equal(w.DownstreamPieces, []int{4}) || w.FirstStages != 1 || w.Workspace != "parish" {
		t.Errorf("submitted %+v", w)
	}
	if w.Recovering {
		t.Error("a new request is marked as one that has results")
	}
}

// A stage whose only input stage has no pieces starts the request's pipeline. With the rule for
// single stages it is submitted without a chain, as before.
func TestStageWithoutPiecesBeforeItStartsThePipeline(t *testing.T) {
	for policy, want := range map[AdmissionPolicy]int{AdmissionPipeline: 1, AdmissionStage: 0, AdmissionAuto: 0} {
		work := submissions(t, policy, "/verse/", []int{0, 4})
		if len(work) != 1 || work[0].Service != "planning" || work[0].FirstStages != want || work[0].PieceKey != "" {
			t.Errorf("policy %s: submitted %+v, want FirstStages %d", policy, work, want)
		}
	}
}

// A request that has results is never refused for lack of capacity: the results would be for
// nothing. That holds for the new rule only.
func TestRequestWithResultsIsMarked(t *testing.T) {
	for policy, want := range map[AdmissionPolicy]bool{AdmissionPipeline: true, AdmissionStage: false, AdmissionAuto: false} {
		tg := newConfigured(t)
		tg.gateway.config.Admission = policy
		h := tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{2} })
		tg.gateway.members.RecordPing(tg.timers.Now(), membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, false)
		tg.gateway.batcherCache[ident.Pool{Service: "registry"}] = "two"
		r := tg.gateway.requests[h]
		r.stages[0].Handles[0], r.stages[0].MissingCount, r.stages[0].Submitted = "registry-0:80/x", 1, false
		tg.peers = nil
		tg.gateway.advance(r)
		if len(tg.peers) != 1 || tg.peers[0].message.StageWork.Recovering != want {
			t.Errorf("policy %s: sent %+v, want Recovering %v", policy, tg.peers, want)
		}
	}
}

// Batchers report how long their calls take with pipeline admission only, so that a deployment
// with the rule for single stages sends the same messages as before.
func TestCallTimeRatioIsReported(t *testing.T) {
	for policy, want := range map[AdmissionPolicy]float64{AdmissionPipeline: 1, AdmissionStage: 0} {
		tg := newConfigured(t)
		tg.gateway.config.Admission = policy
		tg.advance(4 * time.Second)
		statuses := tg.gateway.ownBatcherStatus(tg.timers.Now())
		if len(statuses) != 2 {
			t.Fatalf("policy %s: %d statuses, want 2", policy, len(statuses))
		}
		for pool, s := range statuses {
			if s.CallTimeRatio != want {
				t.Errorf("policy %s, %s: ratio %v, want %v", policy, pool, s.CallTimeRatio, want)
			}
		}
	}
	tg := newConfigured(t)
	pool := ident.Pool{Service: "registry"}
	tg.gateway.batcherCache[pool] = "two"
	tg.gateway.recordBatcherStatus(tg.timers.Now(), "two", map[ident.Pool]message.BatcherStatus{pool: {CallTimeRatio: 1.5}})
	tg.gateway.batcherCache[pool] = "two"
	if got := tg.gateway.callTimeRatio(pool); got != 1.5 {
		t.Errorf("ratio of another batcher's pool %v, want 1.5", got)
	}
}
