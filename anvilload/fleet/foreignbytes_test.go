package fleet

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

// A stream breaks off, and what the next endpoint sends in place of its rest reaches the caller
// inside the stream, which then ends as complete.
func TestNothingButEventsGoesOnWithAStream(t *testing.T) {
	const plain, events, foreign = "text/plain", "text/event-stream", "no room: "
	cases := map[string]worker.Faults{
		"text":                                {ResumeType: plain, ResumeBody: foreign + "try later\n"},
		"text with the status 202":            {ResumeType: plain, ResumeBody: foreign + "try later\n\n", ResumeStatus: http.StatusAccepted},
		"JSON":                                {ResumeType: "application/json", ResumeBody: `{"error":"` + foreign + `"}`},
		"events of another type":              {ResumeType: plain, ResumeBody: "id: 900\ndata: " + foreign + "\n\n"},
		"an error":                            {ResumeType: plain, ResumeBody: foreign + "error\n", ResumeStatus: http.StatusInternalServerError},
		"text that is named a stream":         {ResumeType: events, ResumeBody: foreign + "try later\n\n"},
		"a response head":                     {ResumeType: events, ResumeBody: "HTTP/1.1 500 Internal Server Error\r\nServer: " + foreign + "\r\n\r\n"},
		"text before an event":                {ResumeType: events, ResumeBody: "Error " + foreign + "\nid: 900\ndata: x\n\n"},
		"an event without an id":              {ResumeType: events, ResumeBody: "data: " + foreign + "\n\n"},
		"the stream once more from the start": {RepeatsEvents: true},
	}
	r := startTestFleet(t, 1)
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			faults.CutAfterEvents = 4
			r.setModelFaults(faults)
			defer r.setModelFaults(worker.Faults{})
			request := client.NewRequest("verse")
			reply := client.Send(context.Background(), r.httpClient, r.fleet.Daemons[0].CallerAddress, request)
			wantVisiblyBroken(t, reply)
			if strings.Contains(reply.Body, foreign) || reply.Body != firstEvents(request, 4) {
				t.Errorf("the caller got %q", reply.Body)
			}
		})
	}
	r.wantNoProblems()
}
