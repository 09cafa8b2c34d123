package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
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
	s := NewServer(Config{Do: nil, Observe: func(ident.Pipeline, *outcome.Answer, time.Duration, time.Duration) {}})
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
