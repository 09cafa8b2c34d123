package fleet

import (
	"context"
	"net/http"
	"testing"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

func (r *testFleet) setPlainFaults(f worker.Faults) {
	for _, w := range r.site.PlainWorkers {
		w.SetFaults(f)
	}
}

// A refusal that a worker writes once more on a kept connection is taken for that of the next
// request, which the worker runs.
func TestRepeatedRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults worker.Faults
	}{{"with the id", worker.Faults{}}, {"without the id", worker.Faults{OmitsID: true}}} {
		for _, route := range []string{"order", "lookup"} {
			t.Run(c.name+" "+route, func(t *testing.T) {
				r := startTestFleet(t, 1)
				d := r.fleet.Daemons[0]
				for range 20 {
					full, repeating := c.faults, c.faults
					full.Full, repeating.RepeatsRefusals = true, true
					r.setPlainFaults(full)
					client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest(route))
					r.setPlainFaults(repeating)
					request := client.NewRequest(route)
					reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, request)
					runs := r.site.Recorder.WorkersThatRan(request.ID)
					if reply.Status == http.StatusServiceUnavailable && len(runs) > 0 {
						t.Fatalf("a request that ran at %v was refused as not run", runs)
					}
					if route == "order" && len(runs) > 1 {
						t.Fatalf("a request that may run once ran at %v", runs)
					}
				}
				r.wantNoProblems()
			})
		}
	}
}
