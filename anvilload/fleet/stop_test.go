package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// lateRequest is a request whose body comes late.
type lateRequest struct {
	client.Request
	connection net.Conn
	body       string
}

// beginLateRequest opens a connection and sends a request without its body.
func beginLateRequest(t *testing.T, address, route string) *lateRequest {
	t.Helper()
	r := &lateRequest{Request: client.NewRequest(route), body: strings.Repeat("x", 40)}
	var err error
	if r.connection, err = net.Dial("tcp4", address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.connection.Close() })
	if err := r.writeHead(); err != nil {
		t.Fatal(err)
	}
	return r
}

// writeHead sends the head.
func (r *lateRequest) writeHead() error {
	_, err := fmt.Fprintf(r.connection, "POST /%s/item HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", r.Route, site.Host, r.ID, r.APIKey, len(r.body))
	return err
}

// finish sends the body and returns the status of the answer, 0 if there is none.
func (r *lateRequest) finish() int {
	if _, err := io.WriteString(r.connection, r.body); err != nil {
		return 0
	}
	_ = r.connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(r.connection), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// A request that has come whole only late in a planned stop is passed on and then cut off
// without an answer.
func TestLateRequestsInAPlannedStop(t *testing.T) {
	r := startTestFleet(t, 1)
	d := r.fleet.Daemons[0]
	for _, w := range r.site.PlainWorkers {
		w.SetFaults(worker.Faults{ExtraWork: 900 * time.Millisecond})
	}
	var sending sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	for n := range 24 {
		request := beginLateRequest(t, d.CallerAddress, "order")
		sending.Go(func() {
			// From two and a half seconds before the end of the stop on.
			time.Sleep(5500*time.Millisecond + time.Duration(n)*100*time.Millisecond)
			status := request.finish()
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			runs := len(r.site.Recorder.WorkersThatRan(request.ID))
			if status == 0 && runs > 0 {
				t.Errorf("request %d ran and got no answer", n)
			}
			if status == http.StatusServiceUnavailable && runs > 0 {
				t.Errorf("request %d ran and was refused as not run", n)
			}
		})
	}
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	sending.Wait()
	t.Logf("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status: %v, want some of both kinds", statuses)
	}
	r.wantNoProblems()
}
