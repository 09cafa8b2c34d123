package caller

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/timer"
)

func TestWaiterGetsEveryTokenInOrder(t *testing.T) {
	s := newWaiters()
	w := s.add()
	for _, token := range []string{"a", "b", "c"} {
		s.token(w.id, token)
	}
	s.reply(w.id, outcome.Answer{ID: "1", Outcome: outcome.Whole})
	tokens, answer := w.next(nil)
	if strings.Join(tokens, "") != "abc" || answer == nil {
		t.Errorf("got tokens %q and answer %v", tokens, answer)
	}
}

func TestCheckID(t *testing.T) {
	for id, good := range map[ident.RequestID]bool{
		"": false, "a b": false, "same:x": false, "tk.x": false, "order-7": true,
		ident.RequestID(strings.Repeat("x", maxIDBytes+1)): false,
	} {
		if (checkID(id) == "") != good {
			t.Errorf("id %q: %q", id, checkID(id))
		}
	}
}

func TestStatus(t *testing.T) {
	for want, a := range map[int]outcome.Answer{
		http.StatusOK:                  {Outcome: outcome.Whole},
		http.StatusBadGateway:          {Outcome: outcome.Lost},
		http.StatusServiceUnavailable:  {Outcome: outcome.NotRun},
		http.StatusTooManyRequests:     {Outcome: outcome.Refused, Reason: outcome.OverLimit},
		http.StatusUnprocessableEntity: {Outcome: outcome.Refused, Reason: outcome.Quarantined},
	} {
		if got := status(&a); got != want {
			t.Errorf("%s %s: status %d, not %d", a.Outcome, a.Reason, got, want)
		}
	}
}

func TestMissingKeyIsRefusedBeforeAnythingRuns(t *testing.T) {
	s := NewServer(Config{WithNode: nil, RecordRequest: func(ident.Pipeline, *outcome.Answer, time.Duration, time.Duration) {}})
	server, err := s.HTTPServer()
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	server.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader("{")))
	if recorder.Code != http.StatusUnauthorized || !strings.Contains(recorder.Body.String(), string(outcome.WrongKey)) {
		t.Errorf("status %d, body %s", recorder.Code, recorder.Body)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"id":"1","pipeline":"draft","body":"x","firstSent":"2026-12-04T10:00:00Z"}`)
	f.Fuzz(func(t *testing.T, body string) {
		var in submission
		if err := Decode([]byte(body), &in); err == nil && checkID(in.ID) == "" && len(in.ID) > maxIDBytes {
			t.Errorf("accepted an id of %d bytes", len(in.ID))
		}
	})
}

// TestSlowBodyIsRefused sends half a body and waits: the server must answer by
// itself. It takes the read time-out, which the test shortens.
func TestSlowBodyIsRefused(t *testing.T) {
	timers := timer.NewScheduler(timer.Config{Start: time.Now()})
	n := node.NewNode(node.Config{Seat: "a-1", DataCentre: "a", Timers: timers, Random: rand.New(rand.NewPCG(1, 1)), Output: node.Output{
		SendToPeer: func(message.Envelope) {}, LogEvent: func(node.Event) {},
	}})
	d := configuration.Document{
		Deployment: "small", Revision: 1, ResendHorizonMillis: 600_000, ClockSkewMillis: 500,
		DataCentres: []configuration.DataCentre{{Name: "a", Seats: []ident.Instance{"a-1"}}},
		Services:    []configuration.Service{{Name: "s", Kind: "pool", Workers: 1, Concurrency: 1, DuplicateCheck: configuration.NoDuplicateCheck}},
		Pipelines:   []configuration.Pipeline{{Name: "p", DeadlineMillis: 1000, LateAnswer: configuration.DropLate, Stages: []configuration.Stage{{Name: "one", Service: "s", Idempotent: true, ExpectedMillis: 1}}}},
		Workspaces:  []configuration.Workspace{{Name: "w", KeyDigest: configuration.KeyDigest("k"), Share: 1, RatePerSecond: 1}},
	}
	n.Configure(&d)
	s := NewServer(Config{WithNode: func(f func(*node.Node)) { f(n) }, ReadTimeout: 50 * time.Millisecond})
	server, err := s.HTTPServer()
	if err != nil {
		t.Fatal(err)
	}
	listening := httptest.NewUnstartedServer(server.Handler)
	listening.Start()
	defer listening.Close()
	connection, err := net.Dial("tcp", listening.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = connection.Write([]byte("POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 100\r\n\r\n{"))
	reply, _ := io.ReadAll(connection)
	if !strings.Contains(string(reply), "too slowly") {
		t.Errorf("the reply is %q", reply)
	}
}
