package admission

import (
	"testing"
	"time"
)

// Less urgent requests fill the capacity for results until the end of their long pipelines, and more
// urgent ones whose results are as large find none.
func TestLessUrgentRequestsLeaveResultCapacity(t *testing.T) {
	const large, small = 800_000, 8_000
	for _, c := range []struct {
		name             string
		weight           float64
		bytes, reserved  int
		urgentResultSize int
		want             Action
	}{
		{"much is free", 0.5, large, 50_000_000, large, Start},
		{"the share of the less urgent is taken", 0.5, large, 75_000_000, large, Hold},
		{"the urgent one itself", 1, large, 99_000_000, large, Start},
		{"small results", 0.5, small, 75_000_000, large, Start},
		{"more urgent requests with small results", 0.5, large, 75_000_000, small, Start},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			q := b.queue()
			q.ResultBytes, q.ReservedBytes = 100_000_000, c.reserved
			urgent := b.request(1, 1)
			urgent.ResultBytes = c.urgentResultSize
			b.Decide(b.now, q, []*Request{urgent})
			r := b.request(c.weight, 1)
			r.ResultBytes = c.bytes
			b.now = b.now.Add(10 * time.Millisecond)
			if d := b.Decide(b.now, q, []*Request{r})[0]; d.Action != c.want {
				t.Errorf("action %d, want %d", d.Action, c.want)
			}
		})
	}
}

// Workspaces of many priorities leave those below them next to nothing of the slack.
func TestManyPrioritiesLeaveSlack(t *testing.T) {
	b := newBench()
	for weight := 1.0; weight > 0.01; weight /= 2 {
		b.decideOne(b.request(weight, 1))
	}
	b.fill(60, 1)
	if d := b.decideOne(b.request(0.005, 1)); d.Action != Start {
		t.Errorf("a request with 450 ms for waits is not started at a wait of %v (slack %v)", d.Wait, d.Slack)
	}
}
