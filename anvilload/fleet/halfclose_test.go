package fleet

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"anvilcross/anvilstandin/worker"
)

// A caller that closes only its sending side after a request gets an empty 200 that no endpoint
// has sent, whether its request runs or not.
func TestCallerThatClosesItsSendingSideGetsNoAnswerMadeUp(t *testing.T) {
	r := startTestFleet(t, 1)
	for _, w := range r.site.PlainWorkers {
		w.SetFaults(worker.Faults{ExtraWork: 500 * time.Millisecond})
	}
	for _, route := range []string{"order", "lookup", "verse"} {
		t.Run(route, func(t *testing.T) {
			request := beginLateRequest(t, r.fleet.Daemons[0].CallerAddress, route)
			if _, err := request.connection.Write([]byte(request.body)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			if err := request.connection.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			_ = request.connection.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(request.connection), nil)
			if err != nil {
				return
			}
			// Answers of the endpoints have a body.
			if body, _ := io.ReadAll(response.Body); response.StatusCode == http.StatusOK && len(body) == 0 {
				t.Fatalf("got an answer that no endpoint has sent: %s", response.Status)
			}
		})
	}
}
