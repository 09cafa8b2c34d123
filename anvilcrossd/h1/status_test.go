package h1

import (
	"bytes"
	"testing"
)

// A response has a status that no response may have, and the caller gets it, or what follows it, as
// an answer.
func TestStatusesOutOfRangeAreNoResponses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999"} {
		for name, rest := range map[string]string{
			"with a body":       "\r\nId: a\r\nContent-Length: 3\r\n\r\nown",
			"before another":    "\r\nId: a\r\n\r\n" + ownResponse,
			"without any field": "\r\n\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				address, _ := startEndpoint(t, "HTTP/1.1 "+status+" Odd"+rest)
				if body, err := get(NewClient(Config{}), address, "a"); err == nil || NotSent(err) {
					t.Errorf("got %q and %v, want an error", body, err)
				}
			})
		}
	}
}

// Bytes that are written after the end of the head of an informational response belong to the next
// response, and none of these have an end.
func TestInformationalResponsesAreBounded(t *testing.T) {
	for name, text := range map[string]string{
		"one with a body": "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello" + ownResponse,
		"only these":      string(bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), 20)) + ownResponse,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startEndpoint(t, text)
			if body, err := get(NewClient(Config{}), address, "a"); err == nil {
				t.Errorf("got %q, want an error", body)
			}
		})
	}
}

// A response that has no body by its status has one: it claims less than it sends.
func TestBodiesOfResponsesWithoutOneAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"204, a length":        "HTTP/1.1 204 No Content\r\nId: a\r\nContent-Length: 12\r\n\r\n",
		"204, length and body": "HTTP/1.1 204 No Content\r\nId: a\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"204, chunks":          "HTTP/1.1 204 No Content\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"204, no mark":         "HTTP/1.1 204 No Content\r\nId: a\r\n\r\ntwelve bytes",
		"304, no mark":         "HTTP/1.1 304 Not Modified\r\nId: a\r\n\r\ntwelve bytes",
		"304, a length":        "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startEndpoint(t, text)
			if body, err := get(NewClient(Config{}), address, "a"); err == nil {
				t.Errorf("got %q, want an error", body)
			}
		})
	}
	for name, text := range map[string]string{
		"204, a length of zero":      "HTTP/1.1 204 No Content\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"204":                        "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"304, the length of another": "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 12\r\n\r\n",
	} {
		t.Run(name+" without a body", func(t *testing.T) {
			address, _ := startEndpoint(t, text)
			body, err := get(NewClient(Config{}), address, "a")
			wantBody(t, body, err, "")
		})
	}
}
