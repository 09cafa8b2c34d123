// Package instance is the client of running instances that the command lines
// share: it reads the instance list and calls the operators' and the callers'
// interfaces.
package instance

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/burn"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
)

// ListEntry is an instance in the platform's list.
type ListEntry struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

type instanceList struct {
	Instances []ListEntry `json:"instances"`
}

// operatorTimeout is the timeout of a request to an operators' interface.
const operatorTimeout = 2 * time.Second

// ReadList reads the instance list from a file.
func ReadList(path string) ([]ListEntry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var l instanceList
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return l.Instances, nil
}

// FetchStatus fetches the status of the instance at an operators' address.
func FetchStatus(address string) (*node.Status, error) {
	client := &http.Client{Timeout: operatorTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	s := &node.Status{}
	return s, errors.Trace(json.NewDecoder(response.Body).Decode(s))
}

// FetchBurnReport fetches the counts of good and bad events from the instance at
// an operators' address.
func FetchBurnReport(address string) (*burn.Report, error) {
	client := &http.Client{Timeout: operatorTimeout}
	response, err := client.Get("http://" + address + "/burn")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	r := &burn.Report{}
	return r, errors.Trace(json.NewDecoder(response.Body).Decode(r))
}

// Request is what a caller submits. FirstSent and ID stay the same when it is
// sent again.
type Request struct {
	ID        ident.RequestID `json:"id"`
	Pipeline  ident.Pipeline  `json:"pipeline"`
	Body      string          `json:"body"`
	FirstSent time.Time       `json:"firstSent,omitzero"`
	Resend    bool            `json:"resend,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
}

// Submit sends a request to the instance at a callers' address and returns its
// answer, whatever the outcome. If the response is a stream, onToken gets each
// token as it comes; it may be nil if r does not ask for a stream.
func Submit(client *http.Client, address, key string, r Request, onToken func(string)) (*outcome.Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body, onToken)
	}
	a := &outcome.Answer{}
	return a, errors.Trace(json.NewDecoder(response.Body).Decode(a))
}

// RequestTickets gets tickets from the instance at a callers' address. If the
// instance refuses, it returns no tickets and no error.
func RequestTickets(client *http.Client, address, key string, count int) ([]ident.RequestID, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/tickets", strings.NewReader(fmt.Sprintf(`{"count":%d}`, count)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Tickets []ident.RequestID `json:"tickets"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply.Tickets, errors.Trace(err)
}

// readStream reads server-sent events up to the answer event. It takes every
// other event for a token.
func readStream(body io.Reader, onToken func(string)) (*outcome.Answer, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if name == "answer" {
			a := &outcome.Answer{}
			return a, errors.Trace(json.Unmarshal([]byte(data), a))
		}
		var t struct {
			Token string `json:"token"`
		}
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			return nil, errors.Annotate(err, "cannot decode a token event")
		}
		onToken(t.Token)
	}
	return nil, errors.Errorf("the stream ended before the answer event: %v", lines.Err())
}
