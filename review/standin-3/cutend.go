package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Workers answer without a length, and daemons are killed, one after the other.

const (
	cutEndWorkers = 3
	cutEndCallers = 96
	cutEndWork    = 5 * time.Millisecond
	cutEndTime    = 95 * time.Second
	// cutEndBytes is the size of an answer, the largest of the sheet.
	cutEndBytes = 4800
	// killInterval is the time between two kills, and killDown how long a daemon is down.
	killInterval = 1500 * time.Millisecond
	killDown     = 500 * time.Millisecond
)

// cutEndCase is what the clients have seen.
type cutEndCase struct {
	run    *run
	mutex  sync.Mutex
	counts map[string]int
	broken int
}

func runCutEnd(r *run) int {
	c := &cutEndCase{run: r, counts: map[string]int{}}
	body := strings.Repeat("plaque. ", cutEndBytes/8)
	for n := range cutEndWorkers {
		l := listen()
		id := "i-" + newID()[:10]
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go serveUnframed(conn, id, body)
			}
		}()
		r.store.put("servers/"+id, entry{Service: "zamowienia", Address: l.Addr().String(), Zone: zoneNames[n%3], Version: "v1", Slots: 128, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
	}
	routes := []routeSpec{{Name: "r-1", Host: host, Prefix: "/lookup/", Kind: "safe", Timeout: 1200, Objective: 200, Priority: 2, Service: "zamowienia", Attempts: 2}}
	r.store.put("op/config", configuration(7, routes, []serviceSpec{{Name: "zamowienia", Health: "/health", Connections: 500}}))
	r.startDaemons(3)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(cutEndTime)
	var wait sync.WaitGroup
	for n := range cutEndCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for k := 0; time.Now().Before(end); k++ {
				c.ask(r.daemons[(n+k)%len(r.daemons)], body)
			}
		}()
	}
	for n := 0; r.trouble && time.Now().Before(end.Add(-2*time.Second)); n++ {
		d := r.daemons[n%len(r.daemons)]
		r.signal(d, syscall.SIGKILL)
		<-d.exited
		time.Sleep(killDown)
		r.launch(d)
		time.Sleep(killInterval - killDown)
	}
	wait.Wait()
	r.logf("clients got %v; violations of MIXED: %d", c.counts, c.broken)
	if c.broken > 0 {
		return broken
	}
	return held
}

// serveUnframed serves one request and closes the connection.
func serveUnframed(conn net.Conn, worker, body string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != worker {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", worker, id)
		return
	}
	time.Sleep(cutEndWork)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, id, worker, body)
}

// ask sends a request and reads the answer to the end of its connection.
func (c *cutEndCase) ask(d *daemon, body string) {
	outcome, got := "refused", 0
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.counts[outcome]++
		if outcome == "short" {
			c.broken++
			c.run.logf("MIXED: daemon %s: the answer has 200, a signature and no length, its connection ends without a reset, and it has %d of %d bytes", d.name, got, len(body))
		}
	}()
	conn, err := net.DialTimeout("tcp4", d.callers, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "GET /lookup/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", host, newID(), key)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		outcome = "no answer"
		return
	}
	text, err := io.ReadAll(response.Body)
	got = len(text)
	switch {
	case response.StatusCode != http.StatusOK:
		outcome = fmt.Sprint(response.StatusCode)
	case errors.Is(err, syscall.ECONNRESET):
		outcome = "reset"
	case err != nil:
		outcome = "broken off"
	case response.ContentLength >= 0 || len(response.TransferEncoding) > 0:
		outcome = "framed"
	case string(text) == body:
		outcome = "whole"
	default:
		outcome = "short"
	}
}
