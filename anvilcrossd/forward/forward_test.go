package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/gateway"
)

// A malformed mark of another instance is taken for a sound one.
func TestMalformedMarks(t *testing.T) {
	for _, text := range []string{"x", "{}", `{"by":"a","sends":-1}`, `{"by":7}`, strings.Repeat("[", 20_000)} {
		t.Run("request "+text[:min(len(text), 20)], func(t *testing.T) {
			h := http.Header{HeaderRequest: {text}}
			if f, err := TakeRequest(h); err == nil || h.Get(HeaderRequest) != "" {
				t.Fatalf("got %+v and %v", f, err)
			}
		})
	}
	for _, text := range []string{"x", `{"answer":-1}`, `{"answer":99}`, `{"answer":0,"retryAfter":-5}`, strings.Repeat("[", 20_000)} {
		t.Run("answer "+text[:min(len(text), 20)], func(t *testing.T) {
			if a, isAnswer, err := ReadAnswer(http.Header{HeaderAnswer: {text}}); err == nil || !isAnswer {
				t.Fatalf("got %+v, %v and %v", a, isAnswer, err)
			}
		})
	}
}

func TestMarks(t *testing.T) {
	h := http.Header{}
	SetRequest(h, gateway.Forwarding{By: "entry-1", Sends: 2})
	if !IsForwarded(h) {
		t.Fatal("the mark is not found")
	}
	if f, err := TakeRequest(h); err != nil || f.By != "entry-1" || f.Sends != 2 || IsForwarded(h) {
		t.Fatalf("got %+v and %v", f, err)
	}
	want := gateway.ForwardAnswer{Answer: gateway.NotRun, RetryAfter: time.Second, Reason: "full", Elsewhere: true}
	SetAnswer(h, want)
	if a, isAnswer, err := ReadAnswer(h); err != nil || !isAnswer || a != want {
		t.Fatalf("got %+v, %v and %v", a, isAnswer, err)
	}
	if _, isAnswer, err := ReadAnswer(http.Header{}); isAnswer || err != nil {
		t.Fatalf("an endpoint's response is taken for an own answer: %v", err)
	}
}

// The mark of a forwarded request, which any client of the peers' address can send, or of an answer
// ends the process or passes with values that no instance sends.
func FuzzMarks(f *testing.F) {
	f.Add(`{"by":"a","sends":1}`)
	f.Add(`{"answer":1,"retryAfter":1000000000,"reason":"full","elsewhere":true}`)
	f.Fuzz(func(t *testing.T, text string) {
		if g, err := TakeRequest(http.Header{HeaderRequest: {text}}); err == nil && (g.By == "" || g.Sends < 0) {
			t.Errorf("%q gives %+v", text, g)
		}
		if a, isAnswer, err := ReadAnswer(http.Header{HeaderAnswer: {text}}); err == nil && isAnswer && (!a.Answer.Valid() || a.RetryAfter < 0) {
			t.Errorf("%q gives %+v", text, a)
		}
	})
}
