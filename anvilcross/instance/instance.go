// Package instance speaks to running instances: their operators' and their
// callers' interfaces.
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

// ListEntry is an instance of the platform's list.
type ListEntry struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

type list struct {
	Instances []ListEntry `json:"instances"`
}

const statusTimeout = 2 * time.Second

// ReadList reads the instance list from a file.
func ReadList(path string) ([]ListEntry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return l.Instances, nil
}

// FetchStatus asks an instance for its account of itself.
func FetchStatus(address string) (*node.Status, error) {
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	s := &node.Status{}
	return s, errors.Trace(json.NewDecoder(response.Body).Decode(s))
}

// FetchBurnReport asks an instance for its counts of good and bad events.
func FetchBurnReport(address string) (*burn.Report, error) {
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + address + "/burn")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	r := &burn.Report{}
	return r, errors.Trace(json.NewDecoder(response.Body).Decode(r))
}

// Request is what a caller submits.
type Request struct {
	ID        ident.RequestID `json:"id"`
	Pipeline  ident.Pipeline  `json:"pipeline"`
	Body      string          `json:"body"`
	FirstSent time.Time       `json:"firstSent,omitzero"`
	Resend    bool            `json:"resend,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
}

// Submit sends a request to an instance and returns the whole answer. Tokens
// go to the function as they come, if the request streams.
func Submit(client *http.Client, address, key string, r Request, token func(string)) (*outcome.Answer, error) {
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
		return readStream(response.Body, token)
	}
	a := &outcome.Answer{}
	return a, errors.Trace(json.NewDecoder(response.Body).Decode(a))
}

// RequestTickets asks an instance for tickets.
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

// readStream reads server-sent events up to the answer.
func readStream(body io.Reader, token func(string)) (*outcome.Answer, error) {
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
			return nil, errors.Annotate(err, "token event")
		}
		token(t.Token)
	}
	return nil, errors.Errorf("the stream ended before the answer: %v", lines.Err())
}
