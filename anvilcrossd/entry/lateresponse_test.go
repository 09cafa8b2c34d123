package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilcross/anvilcrossd/callermemory"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/batching"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
	"anvilcross/platform"
)

const lateConfiguration = `{"version":1,"limits":{},"routes":[
{"name":"verse","host":"h","prefix":"/verse/","kind":"stream","timeout-ms":15000,"target-latency-ms":2500,"target-gap-ms":400,"priority":0,"service":"models","max-attempts":3,"public":true,"resumable":true},
{"name":"lookup","host":"h","prefix":"/lookup/","kind":"safe","timeout-ms":15000,"target-latency-ms":200,"priority":0,"service":"models","max-attempts":3,"public":true}],
"services":[{"name":"models","health-path":"/health","max-connections":100}]}`

// lateServer is a Server with a real gateway under virtual time.
type lateServer struct {
	server  *Server
	gateway *gateway.Gateway
	timers  *timer.Scheduler
	mutex   sync.Mutex
}

func (p *lateServer) withGateway(f func(*gateway.Gateway)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f(p.gateway)
}

const (
	// lateStreamTime and lateLookupTime are the times after which a response is read whose
	// attempt has timed out, but not the next one.
	lateStreamTime = 4 * time.Second
	lateLookupTime = 200 * time.Millisecond
	// arrivalTime is the time for a response to arrive at the server's socket.
	arrivalTime = 20 * time.Millisecond
)

// writeUnread calls a function that writes a response, and lets time pass before the gateway gets
// any report on it.
func (p *lateServer) writeUnread(late time.Duration, write func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	write()
	time.Sleep(arrivalTime)
	const step = 10 * time.Millisecond
	for range late / step {
		p.timers.Advance(p.timers.Now().Add(step))
	}
}

// startLateServer starts a server before endpoints that serve requests one way each. It returns
// its address.
func startLateServer(t *testing.T, serve ...http.HandlerFunc) (*lateServer, string) {
	t.Helper()
	p := &lateServer{}
	p.timers = timer.NewScheduler(timer.Config{Start: time.Unix(1_700_000_000, 0)})
	p.server = NewServer(Config{
		WithGateway:   p.withGateway,
		HTTPClient:    h1.NewClient(h1.Config{}),
		Memory:        newTestMemory(),
		CallerMemory:  callermemory.NewAccount(callermemory.Config{}),
		HandleWhole:   func(net.Conn) {},
		Limits:        func() published.Limits { return published.Limits{} },
		ShuttingDown:  func() bool { return false },
		RecordRequest: func(string, time.Duration) {},
		LogEvent:      func(string, ...any) {},
	})
	p.gateway = gateway.NewGateway(gateway.Config{
		Self:         membership.Member{Name: "one", Address: "one:1", DataCentre: "east", Incarnation: 1},
		Retry:        gateway.RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Random:       rand.New(rand.NewPCG(1, 2)),
		Timers:       p.timers,
		DecodeRecord: platform.DecodeRecord,
		Output: gateway.Output{
			NextStep:        p.server.HandleStep,
			CancelAttempt:   p.server.CancelAttempt,
			SendToPeer:      func(membership.PeerAddress, message.Envelope) {},
			LogEvent:        func(string, ...any) {},
			StartCall:       func(batching.Call) {},
			FreeResults:     func(string, []message.ResultHandle) {},
			InspectEndpoint: func(ident.Endpoint, string) {},
			CheckEndpoint:   func(ident.Endpoint, string) {},
			ListPrompts:     func(ident.Endpoint, string) {},
			QueryHealth:     func(ident.EndpointProcess, string, string) {},
		},
	})
	records := []replica.Record{{Key: "op/config", Revision: 1, Value: []byte(lateConfiguration)}}
	started := make(chan http.HandlerFunc, len(serve))
	for _, s := range serve {
		started <- s
	}
	for n := range serve {
		endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The gateway chooses among the endpoints; the first one chosen serves the first way.
			(<-started)(w, r)
		}))
		t.Cleanup(endpoint.Close)
		name := fmt.Sprintf("i-%d", n)
		value := fmt.Sprintf(`{"service":"models","address":%q,"zone":"east","version":"v1","slots":8,"state":"ready","sequence":1,"born":1}`, endpoint.Listener.Addr())
		records = append(records, replica.Record{Key: "servers/" + name, Revision: 1, Value: []byte(value)})
	}
	p.withGateway(func(g *gateway.Gateway) { g.HandleFullList(records, 1) })
	callers := httptest.NewServer(p.server)
	t.Cleanup(callers.Close)
	return p, callers.URL
}

// post sends a request and returns the status and the body of the answer.
func post(t *testing.T, url, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("a verse"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request-Id", "r-1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the answer is incomplete: %v", err)
	}
	return response.StatusCode, string(body)
}

func writeHead(w http.ResponseWriter, r *http.Request, contentType string) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "seal")
	w.Header().Set("Content-Type", contentType)
}

// events returns the events of a run after one.
func events(run string, after, last int) string {
	var text strings.Builder
	for n := after + 1; n <= last; n++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, run)
	}
	return text.String()
}

// lateStream writes the first events, which are read too late, and waits for the end of its
// connection.
func lateStream(p **lateServer, after int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeHead(w, r, "text/event-stream")
		(*p).writeUnread(lateStreamTime, func() {
			_, _ = io.WriteString(w, events("late", after, after+3))
			_ = http.NewResponseController(w).Flush()
		})
		<-r.Context().Done()
	}
}

func wholeStream(run string, after int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeHead(w, r, "text/event-stream")
		_, _ = io.WriteString(w, events(run, after, 6))
	}
}

// A caller gets the events of an attempt that was given up before they were read, and after them
// all events of the next attempt.
func TestEventsThatAreReadLateAreNotJoinedWithAnotherRun(t *testing.T) {
	t.Run("before the first event", func(t *testing.T) {
		var p *lateServer
		p, url := startLateServer(t, lateStream(&p, 0), wholeStream("second", 0))
		if _, body := post(t, url, "/verse/1"); body != events("second", 0, 6) {
			t.Errorf("got %q", body)
		}
	})
	t.Run("at an attempt that goes on with a stream", func(t *testing.T) {
		var p *lateServer
		broken := func(w http.ResponseWriter, r *http.Request) {
			writeHead(w, r, "text/event-stream")
			_, _ = io.WriteString(w, events("first", 0, 2))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		p, url := startLateServer(t, broken, lateStream(&p, 2), wholeStream("third", 2))
		if _, body := post(t, url, "/verse/1"); body != events("first", 0, 2)+events("third", 2, 6) {
			t.Errorf("got %q", body)
		}
	})
}

// respond returns a whole response.
func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeHead(w, r, "text/plain")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// A caller gets an error, or the beginning of a large response, of an attempt that was given up
// before that was read, or waits for another attempt though a whole response is there.
func TestResponsesThatAreReadLate(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	cases := []struct {
		name       string
		status     int
		late, want string
	}{
		{"a large one", http.StatusOK, large, "second"},
		{"an error", http.StatusInternalServerError, "failed", "second"},
		{"a whole one", http.StatusOK, "first", "first"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p *lateServer
			late := func(w http.ResponseWriter, r *http.Request) {
				writeHead(w, r, "text/plain")
				w.Header().Set("Content-Length", fmt.Sprint(len(c.late)))
				w.WriteHeader(c.status)
				first := c.late[:min(len(c.late), 1<<10)]
				p.writeUnread(lateLookupTime, func() {
					_, _ = io.WriteString(w, first)
					_ = http.NewResponseController(w).Flush()
				})
				_, _ = io.WriteString(w, c.late[len(first):])
			}
			p, url := startLateServer(t, late, respond(http.StatusOK, "second"))
			if status, body := post(t, url, "/lookup/1"); status != http.StatusOK || body != c.want {
				t.Errorf("got %d and %.20q", status, body)
			}
			p.withGateway(func(g *gateway.Gateway) {
				if n := g.InFlight(); n != 0 {
					t.Errorf("%d requests are not finished", n)
				}
			})
		})
	}
}
