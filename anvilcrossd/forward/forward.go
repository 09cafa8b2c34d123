// Package forward is the protocol by which one instance hands a caller's request to another
// one, because it has no path to the endpoints. The request goes to the other's address for
// messages between instances, as the caller sent it, with the header Forwarding. The
// response is that of an endpoint or, with the header Forward-Answer, an answer of that
// instance's own. Both headers hold JSON.
package forward

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"anvilcross/kernel/gateway"
)

// Headers between instances. Callers and endpoints never get them.
const (
	HeaderRequest = "Anvilcross-Forwarding"
	HeaderAnswer  = "Anvilcross-Forward-Answer"
)

// IsForwarded reports whether a request has been forwarded.
func IsForwarded(h http.Header) bool { return h.Get(HeaderRequest) != "" }

// SetRequest marks a request as forwarded.
func SetRequest(h http.Header, f gateway.Forwarding) { set(h, HeaderRequest, f) }

// TakeRequest removes the mark of a forwarded request and returns what it says.
func TakeRequest(h http.Header) (gateway.Forwarding, error) {
	var f gateway.Forwarding
	err := json.Unmarshal([]byte(h.Get(HeaderRequest)), &f)
	h.Del(HeaderRequest)
	if err == nil && (f.By == "" || f.Sends < 0) {
		err = errors.Errorf("forwarded by %q, sent %d times", f.By, f.Sends)
	}
	return f, errors.Annotate(err, "forwarded request")
}

// SetAnswer marks a response as an instance's own answer.
func SetAnswer(h http.Header, a gateway.ForwardAnswer) { set(h, HeaderAnswer, a) }

// ReadAnswer returns the own answer of an instance; isAnswer is false for the response of an
// endpoint.
func ReadAnswer(h http.Header) (a gateway.ForwardAnswer, isAnswer bool, err error) {
	text := h.Get(HeaderAnswer)
	if text == "" {
		return a, false, nil
	}
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		return a, true, errors.Annotate(err, "answer to a forwarded request")
	}
	if !a.Answer.Valid() || a.RetryAfter < 0 {
		return a, true, errors.Errorf("answer %d to a forwarded request, retry after %v", a.Answer, a.RetryAfter)
	}
	return a, true, nil
}

func set(h http.Header, name string, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic("header of a forwarded request cannot be encoded: " + err.Error())
	}
	h.Set(name, string(text))
}
