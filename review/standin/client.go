package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host   = "pule25.example"
	apiKey = "9dnn2ctnfzs989anu6ws"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call is one client attempt. Each has an id and a connection of its own.
type call struct {
	id, path, body, prompt string
	events                 int
	deadline               time.Duration
	lastEvent, resumes     string
}

// event is an event of a stream as the client received it.
type event struct{ id, version string }

// reply is what a client attempt received.
type reply struct {
	status   int
	seal     string
	events   []event
	complete bool
	err      error
}

// send sends a client attempt to the front address of a daemon and reads the stream.
func (c call) send(record *recorder, d *daemon, onEvent func(event)) reply {
	record.add("client %s sends to %s: POST %s, prompt %s, Last-Event-Id %q, Resumes %q", c.id, d.name, c.path, c.prompt, c.lastEvent, c.resumes)
	result := c.exchange(d, onEvent)
	record.add("client %s at %s: status %d, %d events, complete %v, error %v", c.id, d.name, result.status, len(result.events), result.complete, result.err)
	return result
}

func (c call) exchange(d *daemon, onEvent func(event)) (result reply) {
	connection, err := net.DialTimeout("tcp4", d.front, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(c.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 1460,%d\r\nPrompt-Prefix: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", c.path, host, c.id, c.events, c.prompt, c.deadline.Milliseconds(), apiKey, len(c.body))
	if c.lastEvent != "" {
		fmt.Fprintf(&text, "Last-Event-Id: %s\r\nResumes: %s\r\n", c.lastEvent, c.resumes)
	}
	text.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(connection, text.String()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{err: err}
	}
	result = reply{status: response.StatusCode, seal: response.Header.Get("Response-Seal")}
	body := bufio.NewReader(response.Body)
	current := event{}
	for {
		line, err := body.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			current.id = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "data:"):
			version, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line[5:]), "version="), " ")
			current.version = version
		case line == "" && err == nil && current.id != "":
			result.events = append(result.events, current)
			if onEvent != nil {
				onEvent(current)
			}
			current = event{}
		}
		if err == io.EOF {
			result.complete = true
			return result
		}
		if err != nil {
			result.err = err
			return result
		}
	}
}
