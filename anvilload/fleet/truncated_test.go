package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
	"anvilcross/kernel/endpoints"
)

// A stream that its endpoint ends inside an event, but as if it were complete, reaches its
// caller as complete.
func TestTruncatedStreamsDoNotLookComplete(t *testing.T) {
	r := startTestFleet(t, 1)
	send := func(request client.Request) client.Reply {
		// The connections that ended in the answer before have taken endpoints out of use.
		time.Sleep(endpoints.BaseEjectionTime + 50*time.Millisecond)
		return client.Send(context.Background(), r.httpClient, r.fleet.Daemons[0].CallerAddress, request)
	}
	frames := map[string]worker.Faults{"chunks": {}, "a length": {WithLength: true}, "neither": {CloseDelimited: true}}
	truncations := map[string]worker.Truncation{"inside a line": worker.InsideLine, "after a line": worker.AfterLine}
	for frame, faults := range frames {
		for place, truncation := range truncations {
			for _, whole := range []int{0, 7} {
				t.Run(fmt.Sprintf("%s, %s of event %d", frame, place, whole+1), func(t *testing.T) {
					faults := faults
					faults.Truncation, faults.TruncateAfter = truncation, whole
					r.setModelFaults(faults)
					defer r.setModelFaults(worker.Faults{})
					r.wantCutOff(t, send(client.NewRequest("draft")), whole)
					request := client.NewRequest("verse")
					request.EventCount = 30
					if whole > 0 {
						if reply := send(request); reply.Err != nil || reply.Body != firstEvents(request, request.EventCount) {
							t.Errorf("verse: status %d, error %v, %d bytes, want it to go on", reply.Status, reply.Err, len(reply.Body))
						}
					}
					faults.TruncatesResumes = true
					r.setModelFaults(faults)
					request.ID = client.NewRequest("verse").ID
					r.wantCutOff(t, send(request), whole)
					if runs := r.site.Recorder.WorkersThatRan(request.ID); len(runs) != 2 {
						t.Errorf("verse ran at %v, want two workers", runs)
					}
				})
			}
		}
	}
	r.wantNoProblems()
}

// wantCutOff fails the test unless the answer of a truncated stream is an error or breaks off.
func (r *testFleet) wantCutOff(t *testing.T, reply client.Reply, whole int) {
	t.Helper()
	if whole > 0 {
		wantVisiblyBroken(t, reply)
		return
	}
	if reply.Err != nil || reply.Status != http.StatusBadGateway {
		t.Errorf("got status %d, error %v and %d bytes, want status %d", reply.Status, reply.Err, len(reply.Body), http.StatusBadGateway)
	}
}
