package progress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
)

var start = time.Unix(1_700_000_000, 0)

// timing is that of stages without a queue, whose calls take a second.
func timing(now time.Time) Timing {
	return Timing{
		Now:       now,
		Retention: func(int) time.Duration { return 8 * time.Second },
		Wait:      func(int) time.Duration { return 0 },
		CallTime:  func(int) time.Duration { return time.Second },
	}
}

// newStages returns stages of two pieces each, all of them done at the start. Stage i has
// dependsOn[i], and its pieces are at the endpoints stageI-0 and stageI-1.
func newStages(dependsOn ...[]int) Stages {
	var route []published.Stage
	var pieces []int
	for i, d := range dependsOn {
		route = append(route, published.Stage{Service: ident.Service(fmt.Sprintf("stage%d", i)), DependsOn: d})
		pieces = append(pieces, 2)
	}
	ss := NewStages(route, pieces)
	for i := range ss {
		for piece := range 2 {
			ss[i].Complete(piece, message.ResultHandle(fmt.Sprintf("stage%d-%d:80/%d", i, piece, piece)), Holder{Since: start})
		}
	}
	return ss
}

// lostAt says that the results at some addresses are lost.
func lostAt(addresses ...string) func(message.ResultHandle, Holder) bool {
	return func(h message.ResultHandle, _ Holder) bool { return slices.Contains(addresses, h.Address()) }
}

// wantMissing checks how many results each stage lacks.
func wantMissing(t *testing.T, ss Stages, want ...int) {
	t.Helper()
	var got []int
	for i := range ss {
		got = append(got, ss[i].MissingCount)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("the stages lack %v results, want %v", got, want)
	}
}

// Sound results are computed again with lost ones, or lost ones are kept.
func TestDrop(t *testing.T) {
	t.Run("only those known to be lost", func(t *testing.T) {
		ss := newStages(nil, []int{0}, []int{0})
		ss[1].drop(always)
		ss[2].drop(always)
		ss.Drop([]int{0}, lostAt("stage0-1:80"), timing(start))
		wantMissing(t, ss, 1, 2, 2)
	})
	t.Run("all of the stages if none is known to be lost", func(t *testing.T) {
		ss := newStages(nil, nil, []int{0, 1})
		ss[2].drop(always)
		ss.Drop([]int{0}, lostAt(), timing(start))
		wantMissing(t, ss, 2, 0, 2)
	})
	t.Run("results of other stages at the same endpoint", func(t *testing.T) {
		ss := newStages(nil, nil, []int{0, 1})
		ss[2].drop(always)
		ss[1].Handles[1] = "stage0-1:80/other"
		ss.Drop([]int{0}, lostAt("stage0-1:80"), timing(start))
		wantMissing(t, ss, 1, 1, 2)
	})
	t.Run("inputs that were freed", func(t *testing.T) {
		ss := newStages(nil, []int{0}, []int{1})
		ss[0].Released, ss[1].Released = true, true
		ss.Drop([]int{2}, lostAt("stage2-0:80"), timing(start))
		wantMissing(t, ss, 2, 2, 1)
	})
	t.Run("no inputs that running pieces have fetched", func(t *testing.T) {
		ss := newStages(nil, []int{0}, nil)
		ss[1].drop(always)
		ss[0].Released, ss[0].CapacityLow = true, true
		ss[1].InputsFetched.Add(0)
		ss[1].InputsFetched.Add(1)
		ss.Drop([]int{2}, lostAt("stage2-0:80"), timing(start))
		wantMissing(t, ss, 0, 2, 1)
	})
}

// A request computes results that have expired one stage after the other.
func TestDropOfExpiringResults(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want []int
	}{
		{5 * time.Second, []int{1, 0, 2}},
		{6500 * time.Millisecond, []int{1, 2, 2}},
	} {
		t.Run(fmt.Sprint(c.age), func(t *testing.T) {
			ss := newStages(nil, nil, []int{0})
			ss[2].drop(always)
			ss.Drop([]int{0}, lostAt("stage0-0:80"), timing(start.Add(c.age)))
			wantMissing(t, ss, c.want...)
		})
	}
}

// A report about inputs that have been replaced is taken for one about the present ones.
func TestInputsRevision(t *testing.T) {
	ss := newStages(nil, nil, []int{0}, []int{1})
	ss[2].drop(always)
	before := []int{ss.InputsRevision(2), ss.InputsRevision(3)}
	ss.Drop([]int{0}, lostAt("stage0-0:80"), timing(start))
	after := []int{ss.InputsRevision(2), ss.InputsRevision(3)}
	if before[0] <= 0 || after[0] <= before[0] || after[1] != before[1] {
		t.Fatalf("revisions %v, then %v, want the first to rise only", before, after)
	}
}
