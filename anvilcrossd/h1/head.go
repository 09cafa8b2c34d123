package h1

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalidStatus is the cause of an error if a response has a status that no response to a request
// of ours has.
var ErrInvalidStatus = errors.New("the response has an invalid status")

// ErrBodyNotAllowed is the cause of an error if a response names a body that it cannot have by its
// status. It may arrive after the head, and nobody would read it.
var ErrBodyNotAllowed = errors.New("the response names a body, which its status does not allow")

// ErrJoinedHeads is the cause of an error if a head was cut off and that of another response
// follows, so that fields of both would be taken for those of one.
var ErrJoinedHeads = errors.New("the heads of two responses are joined")

// InvalidHead reports whether an error of Do is that of a head which no response to the request has.
func InvalidHead(err error) bool {
	cause := errors.Cause(err)
	return cause == ErrInvalidStatus || cause == ErrBodyNotAllowed || cause == ErrJoinedHeads
}

// checkHead returns an error for a head that no response to a request of ours has.
func checkHead(response *http.Response) error {
	switch {
	case !validStatus(response.StatusCode):
		return errors.Annotatef(ErrInvalidStatus, "status %q", response.Status)
	case isJoined(response):
		return errors.Annotatef(ErrJoinedHeads, "status %q", response.Status)
	case namesBodyWithout(response):
		return errors.Trace(ErrBodyNotAllowed)
	}
	return nil
}

// validStatus reports whether a response can have a status. No request of ours asks for another
// protocol.
func validStatus(code int) bool {
	const first, last = 100, 599
	return code >= first && code <= last && code != http.StatusSwitchingProtocols
}

// namesBodyWithout reports whether a response with status 204, which has no body, names one. One of
// status 304 may name the length that another response would have.
func namesBodyWithout(response *http.Response) bool {
	if response.StatusCode != http.StatusNoContent {
		return false
	}
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) > 0 || length != "" && strings.Trim(length, "0") != ""
}

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// singleFields are fields that a response has once at most.
var singleFields = []string{"Content-Encoding", "Content-Type", "Date", "Etag", "Last-Modified", "Location", "Retry-After"}

// isJoined reports whether a head is made of two: a status line stands in the reason or in a
// field, or a field that may come once has two values. An endpoint may send the beginning of an earlier
// response once more, right before the next one.
func isJoined(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, v := range values {
			if statusLine.MatchString(v) {
				return true
			}
		}
	}
	for _, name := range singleFields {
		values := response.Header[name]
		if slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
			return true
		}
	}
	return false
}
