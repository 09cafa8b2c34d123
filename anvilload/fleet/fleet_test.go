package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "anvilcross")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if binary, err = Build(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// testFleet is a simulated site with a fleet in front of it.
type testFleet struct {
	t          *testing.T
	site       *site.Site
	fleet      *Fleet
	httpClient *http.Client
}

func startTestFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	return startTestFleetAt(t, count, site.Config{})
}

// startTestFleetAt starts a fleet in front of a site that is set up.
func startTestFleetAt(t *testing.T, count int, c site.Config) *testFleet {
	t.Helper()
	s, err := site.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Start(Config{Binary: binary, Directory: t.TempDir(), Count: count, Site: s})
	if err != nil {
		t.Fatal(err)
	}
	r := &testFleet{t: t, site: s, fleet: f, httpClient: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	t.Cleanup(func() {
		f.Stop()
		_ = s.Close()
		if t.Failed() {
			r.printLogTails()
		}
	})
	return r
}

// printLogTails prints the end of each daemon's log.
func (r *testFleet) printLogTails() {
	const lines = 30
	for _, d := range r.fleet.Daemons {
		text, err := os.ReadFile(d.LogPath)
		if err != nil {
			continue
		}
		all := strings.Split(string(text), "\n")
		r.t.Logf("%s:\n%s", d.Name, strings.Join(all[max(len(all)-lines, 0):], "\n"))
	}
}

// wantWhole sends a request and fails the test unless the answer is whole.
func (r *testFleet) wantWhole(d *Daemon, request client.Request) {
	r.t.Helper()
	if problem := client.FindProblem(request, client.Send(context.Background(), r.httpClient, d.CallerAddress, request)); problem != "" {
		r.t.Fatalf("%s at %s: %s", request.Route, d.Name, problem)
	}
}

// wantStatus sends a request and fails the test unless it gets the status.
func (r *testFleet) wantStatus(d *Daemon, request client.Request, want int) client.Reply {
	r.t.Helper()
	reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, request)
	if reply.Err != nil || reply.Status != want {
		r.t.Fatalf("%s at %s: got status %d and error %v, want %d", request.Route, d.Name, reply.Status, reply.Err, want)
	}
	return reply
}

// wantNoProblems fails the test if the workers saw a protocol violation.
func (r *testFleet) wantNoProblems() {
	r.t.Helper()
	if problems := r.site.Recorder.Problems(); len(problems) > 0 {
		r.t.Fatalf("the workers reported:\n%s", strings.Join(problems, "\n"))
	}
}

// eventually waits until holds returns true and fails the test after the
// timeout.
func (r *testFleet) eventually(condition string, timeout time.Duration, holds func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("not true within %s: %s", timeout, condition)
}

func TestEndToEnd(t *testing.T) {
	r := startTestFleet(t, 3)
	t.Run("every kind of request at every daemon at once", func(t *testing.T) {
		var wait sync.WaitGroup
		for _, d := range r.fleet.Daemons {
			for _, route := range []string{"order", "lookup", "draft", "verse"} {
				for range 4 {
					wait.Go(func() {
						request := client.NewRequest(route)
						if problem := client.FindProblem(request, client.Send(context.Background(), r.httpClient, d.CallerAddress, request)); problem != "" {
							t.Errorf("%s at %s: %s", route, d.Name, problem)
						}
						if runs := r.site.Recorder.WorkersThatRan(request.ID); len(runs) != 1 {
							t.Errorf("%s ran %d times", route, len(runs))
						}
					})
				}
			}
		}
		wait.Wait()
	})
	t.Run("results are freed", func(t *testing.T) {
		r.eventually("all stage results are freed", 3*time.Second, func() bool { return r.site.Results.Count() == 0 })
	})
	t.Run("metrics tell of them", func(t *testing.T) {
		response, err := http.Get("http://" + r.fleet.Daemons[0].MetricsAddress + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if !strings.Contains(string(body), "anvilcross_arrived") {
			t.Fatalf("no counter of arrived requests in:\n%.500s", body)
		}
	})
	r.wantNoProblems()
}

func TestInvalidRequests(t *testing.T) {
	r := startTestFleet(t, 1)
	d := r.fleet.Daemons[0]
	t.Run("unknown route", func(*testing.T) { r.wantStatus(d, client.NewRequest("nothing"), http.StatusNotFound) })
	t.Run("unknown key", func(*testing.T) {
		request := client.NewRequest("order")
		request.APIKey = "wrong"
		r.wantStatus(d, request, http.StatusUnauthorized)
	})
	t.Run("body too large", func(*testing.T) {
		request := client.NewRequest("order")
		request.Body = strings.Repeat("x", 70_000)
		r.wantStatus(d, request, http.StatusRequestEntityTooLarge)
	})
	t.Run("header too large", func(*testing.T) {
		request := client.NewRequest("order")
		request.Header = http.Header{"X-Large": {strings.Repeat("x", 40_000)}}
		r.wantStatus(d, request, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("malformed pieces", func(*testing.T) {
		request := client.NewRequest("draft")
		request.PieceCounts = "two"
		r.wantStatus(d, request, http.StatusBadRequest)
	})
	t.Run("a request inside another one", func(t *testing.T) {
		for name, text := range client.SmugglingPayloads() {
			if reply := sendRaw(t, d.CallerAddress, text); strings.Contains(reply, "HTTP/1.1 200") && strings.Count(reply, "HTTP/1.1 200") > 1 {
				t.Errorf("%s: two requests were served:\n%s", name, reply)
			}
		}
		if runs := r.site.Recorder.WorkersThatRan("inner"); len(runs) != 0 {
			t.Errorf("the inner request ran %d times", len(runs))
		}
	})
	t.Run("a header that comes too slowly ends its connection", func(t *testing.T) {
		connection, err := net.Dial("tcp4", d.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		// The daemon closes a connection whose header is incomplete after 3 s,
		// the constant headerTimeout of package gatewayd.
		_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(connection, "POST /order/item HTTP/1.1\r\nHost: site"); err != nil {
			t.Fatal(err)
		}
		if reply, err := io.ReadAll(connection); err != nil || len(reply) > 0 {
			t.Fatalf("got %q and %v, want the connection closed", reply, err)
		}
	})
	t.Run("half a request harms nobody", func(t *testing.T) {
		sendRaw(t, d.CallerAddress, "POST /order/item HTTP/1.1\r\nHost: site.example\r\nContent-Length: 100\r\n\r\nhalf")
		r.wantWhole(d, client.NewRequest("order"))
	})
	r.wantNoProblems()
}

// sendRaw sends raw bytes and returns what the server sends within a second.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(connection, text); err != nil {
		return ""
	}
	reply, _ := io.ReadAll(connection)
	return string(reply)
}

func TestWorkerFaults(t *testing.T) {
	r := startTestFleet(t, 2)
	d := r.fleet.Daemons[0]
	setFaults := func(f worker.Faults, names ...string) {
		for _, name := range names {
			r.site.PlainWorkers[name].SetFaults(f)
		}
	}
	orderWorkers := []string{"orders-0", "orders-1", "orders-2"}
	t.Run("an order whose answer is lost is not repeated", func(t *testing.T) {
		setFaults(worker.Faults{Disconnects: true}, orderWorkers...)
		defer setFaults(worker.Faults{}, orderWorkers...)
		request := client.NewRequest("order")
		r.wantStatus(d, request, http.StatusBadGateway)
		if runs := r.site.Recorder.WorkersThatRan(request.ID); len(runs) != 1 {
			t.Fatalf("the order ran %d times", len(runs))
		}
	})
	t.Run("a full service leaves the request not run", func(t *testing.T) {
		time.Sleep(3 * time.Second)
		setFaults(worker.Faults{Full: true}, orderWorkers...)
		defer setFaults(worker.Faults{}, orderWorkers...)
		request := client.NewRequest("order")
		reply := r.wantStatus(d, request, http.StatusServiceUnavailable)
		if runs := r.site.Recorder.WorkersThatRan(request.ID); len(runs) != 0 || reply.Header.Get("Retry-After") == "" {
			t.Fatalf("ran %d times, Retry-After %q", len(runs), reply.Header.Get("Retry-After"))
		}
	})
	t.Run("an answer without a length is passed on whole", func(*testing.T) {
		setFaults(worker.Faults{CloseDelimited: true}, orderWorkers...)
		defer setFaults(worker.Faults{}, orderWorkers...)
		r.wantWhole(d, client.NewRequest("order"))
	})
	t.Run("a stream that breaks goes on at another worker", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		request := client.NewRequest("verse")
		r.wantWhole(d, request)
		if runs := r.site.Recorder.WorkersThatRan(request.ID); len(runs) != 2 {
			t.Fatalf("ran %d times, want 2", len(runs))
		}
	})
	t.Run("a stream that cannot be resumed ends visibly incomplete", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		if reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest("draft")); reply.Err == nil {
			t.Fatalf("the answer looks complete: status %d", reply.Status)
		}
	})
	t.Run("a stream without a length is passed on whole", func(*testing.T) {
		r.setModelFaults(worker.Faults{CloseDelimited: true})
		defer r.setModelFaults(worker.Faults{})
		r.wantWhole(d, client.NewRequest("draft"))
	})
	t.Run("a stream without a length that ends inside an event ends visibly incomplete", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CloseDelimited: true, CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		if reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest("draft")); reply.Err == nil {
			t.Fatalf("the answer looks complete: status %d", reply.Status)
		}
	})
	t.Run("a stream without a length that ends inside an event goes on at another worker", func(*testing.T) {
		r.setModelFaults(worker.Faults{CloseDelimited: true, CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		r.wantWhole(d, client.NewRequest("verse"))
	})
	t.Run("a stage worker that fails costs no request", func(*testing.T) {
		time.Sleep(3 * time.Second)
		r.site.StageWorkers["registry-0"].SetFaults(worker.Faults{Disconnects: true})
		defer r.site.StageWorkers["registry-0"].SetFaults(worker.Faults{})
		r.wantWhole(d, client.NewRequest("verse"))
	})
	r.wantNoProblems()
}

func TestStoreChanges(t *testing.T) {
	r := startTestFleet(t, 2)
	t.Run("a drained worker gets nothing new", func(t *testing.T) {
		r.site.Drain("orders-0")
		time.Sleep(time.Second)
		for _, d := range r.fleet.Daemons {
			for range 10 {
				request := client.NewRequest("order")
				r.wantWhole(d, request)
				if runs := r.site.Recorder.WorkersThatRan(request.ID); runs[0] == "orders-0" {
					t.Fatal("the drained worker got a request")
				}
			}
		}
	})
	t.Run("a new configuration is in force and an older one is ignored", func(t *testing.T) {
		keepFirstTwoRoutes := func(c map[string]any) { c["routes"] = c["routes"].([]any)[:2] }
		r.site.PublishConfiguration(7, keepFirstTwoRoutes)
		time.Sleep(time.Second)
		r.site.PublishConfiguration(3, nil)
		time.Sleep(time.Second)
		for _, d := range r.fleet.Daemons {
			r.wantStatus(d, client.NewRequest("verse"), http.StatusNotFound)
			r.wantWhole(d, client.NewRequest("order"))
		}
	})
	t.Run("entries that cannot be read change nothing", func(t *testing.T) {
		r.site.MetadataStore.Put("servers/strange", []byte(`{"service":7}`))
		r.site.MetadataStore.Put("servers/bytes", []byte{0xff, 0x00})
		time.Sleep(500 * time.Millisecond)
		for _, d := range r.fleet.Daemons {
			r.wantWhole(d, client.NewRequest("order"))
		}
	})
	r.wantNoProblems()
}

// TestStoreOutage takes the metadata store down, changes the configuration and
// drops the store's history meanwhile: daemons serve requests during the outage
// and apply the change afterwards.
func TestStoreOutage(t *testing.T) {
	r := startTestFleet(t, 2)
	r.site.MetadataStore.SetDown(true)
	time.Sleep(2 * time.Second)
	for _, d := range r.fleet.Daemons {
		r.wantWhole(d, client.NewRequest("order"))
		r.wantWhole(d, client.NewRequest("verse"))
	}
	r.site.PublishConfiguration(9, func(c map[string]any) { c["routes"] = c["routes"].([]any)[:1] })
	r.site.MetadataStore.DropHistory()
	r.site.MetadataStore.SetDown(false)
	r.eventually("the configuration published during the outage is in force", 4*time.Second, func() bool {
		for _, d := range r.fleet.Daemons {
			if client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest("lookup")).Status != http.StatusNotFound {
				return false
			}
		}
		return true
	})
	r.wantNoProblems()
}

// TestGracefulShutdownInterruptsNoAnswer sends SIGTERM to a daemon that is
// serving requests: it must finish or refuse each of them before it exits.
func TestGracefulShutdownInterruptsNoAnswer(t *testing.T) {
	r := startTestFleet(t, 3)
	d := r.fleet.Daemons[0]
	var wait sync.WaitGroup
	for n := range 30 {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			request := client.NewRequest([]string{"verse", "draft", "order"}[n%3])
			reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, request)
			if problem := client.FindProblem(request, reply); problem != "" && reply.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: %s", request.Route, problem)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	if err := d.WaitExit(); err != nil {
		t.Fatalf("the daemon exited with %v", err)
	}
	r.wantWhole(r.fleet.Daemons[1], client.NewRequest("verse"))
	r.wantNoProblems()
}

// TestBatcherFailover kills each daemon in turn, among them the batchers of the
// stage services: requests in progress at another daemon must still succeed.
func TestBatcherFailover(t *testing.T) {
	r := startTestFleet(t, 3)
	for n, victim := range r.fleet.Daemons {
		other := r.fleet.Daemons[(n+1)%len(r.fleet.Daemons)]
		results := make(chan string, 8)
		for range cap(results) {
			go func() {
				request := client.NewRequest("verse")
				results <- client.FindProblem(request, client.Send(context.Background(), r.httpClient, other.CallerAddress, request))
			}()
		}
		time.Sleep(60 * time.Millisecond)
		if err := victim.Kill(); err != nil {
			t.Fatal(err)
		}
		for range cap(results) {
			if problem := <-results; problem != "" {
				t.Errorf("with %s killed: %s", victim.Name, problem)
			}
		}
		if err := victim.Launch(); err != nil {
			t.Fatal(err)
		}
		if err := victim.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	r.wantNoProblems()
}
