package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faulty workers send a second copy of some answers, late and cut off.

const (
	tornWorkers = 5
	// tornFaulty workers of these are faulty, with tornShare of their answers, for tornFor in each
	// tornPeriod.
	tornFaulty  = 3
	tornShare   = 0.03
	tornFor     = 5 * time.Second
	tornPeriod  = 6 * time.Second
	tornTime    = 90 * time.Second
	tornCallers = 24
	// errorShare is the share of requests at which workers fail by themselves, as on the sheet.
	errorShare = 0.14
	workTime   = 30 * time.Millisecond
)

// plainAnswers holds what workers have answered, by the signature.
type plainAnswers struct {
	run    *run
	mutex  sync.Mutex
	status map[string]int
	body   map[string]string
	// torn counts the cut copies, counts the answers that clients got, by their status.
	torn   int
	counts map[int]int
	// broken holds the violations that the clients saw.
	broken []string
}

func runTorn(r *run) int {
	a := &plainAnswers{run: r, status: map[string]int{}, body: map[string]string{}, counts: map[int]int{}}
	for n := range tornWorkers {
		startPlainWorker(a, n, r.trouble && n < tornFaulty)
	}
	routes := []routeSpec{{Name: "r-1", Host: host, Prefix: "/lookup/", Kind: "safe", Timeout: 1200, Objective: 200, Priority: 2, Service: "zamowienia", Attempts: 2}}
	services := []serviceSpec{{Name: "zamowienia", Health: "/health", Connections: 48}}
	r.store.put("op/config", configuration(7, routes, services))
	r.startDaemons(3)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(tornTime)
	var wait sync.WaitGroup
	for n := range tornCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			lookUp(a, r.daemons[n%len(r.daemons)], end)
		}()
	}
	wait.Wait()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r.logf("clients got %v; workers sent %d cut copies; violations of MIXED: %d", a.counts, a.torn, len(a.broken))
	if len(a.broken) > 0 {
		return broken
	}
	return held
}

// lookUp sends requests on kept connections, and checks each answer against what the worker has
// answered under its signature.
func lookUp(a *plainAnswers, d *daemon, end time.Time) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2500 * time.Millisecond}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		id := newID()
		request, err := http.NewRequest(http.MethodGet, "http://"+d.callers+"/lookup/2f", nil)
		must(err)
		request.Host = host
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "2500")
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := c.Do(request)
		if err != nil {
			a.run.logf("client: request %s at %s: %v", id, d.name, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.check(id, response, string(body), err)
	}
}

func (a *plainAnswers) check(id string, response *http.Response, body string, bodyErr error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts[response.StatusCode]++
	seal := response.Header.Get("Response-Seal")
	given := a.status[seal]
	problem := ""
	switch {
	case seal == "" && response.StatusCode < 300:
		problem = "a success without a signature"
	case seal == "" || bodyErr != nil:
		return
	case given == 0:
		problem = "no worker has given that signature"
	case !strings.HasPrefix(seal, id):
		problem = "the signature is that of another request"
	case given != response.StatusCode:
		problem = fmt.Sprintf("the worker had answered %d", given)
	case body != a.body[seal]:
		problem = "the body is not the worker's"
	default:
		return
	}
	text := fmt.Sprintf("MIXED: request %s gets %q, signature %q, body %q: %s", id, response.Status, seal, body, problem)
	a.broken = append(a.broken, text)
	a.run.logf("%s; headers %v", text, response.Header)
}

// startPlainWorker starts a worker of a plain service.
func startPlainWorker(a *plainAnswers, number int, faulty bool) {
	l := listen()
	id := "i-" + newID()[:10]
	a.run.logf("worker %s of zamowienia at %s, faulty: %v", id, l.Addr(), faulty)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePlain(a, c, id, faulty)
		}
	}()
	a.run.store.put("servers/"+id, entry{Service: "zamowienia", Address: l.Addr().String(), Zone: zoneNames[number%3], Version: "v1", Slots: 6, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
}

// servePlain serves the requests on one connection.
func servePlain(a *plainAnswers, c net.Conn, worker string, faulty bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != worker {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", worker, request.Header.Get("Request-Id"))
			continue
		}
		time.Sleep(workTime)
		id := request.Header.Get("Request-Id")
		status, body := "200 OK", "plaque of "+id
		if rand.Float64() < errorShare {
			status, body = "500 Internal Server Error", "no plaque for "+id
		}
		seal := id + "." + worker[2:8] + "." + newID()[:6]
		code := 200
		if status != "200 OK" {
			code = 500
		}
		a.mutex.Lock()
		a.status[seal], a.body[seal] = code, body
		a.mutex.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 %s\r\nDate: %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nServer-Load: 1,0,6\r\n\r\n%s",
			status, time.Now().UTC().Format(http.TimeFormat), len(body), id, seal, body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if faulty && time.Since(a.run.started)%tornPeriod < tornFor && rand.Float64() < tornShare {
			head := strings.Index(answer, "\r\n\r\n")
			copied := answer[:1+rand.IntN(head)]
			delay := time.Duration(5+rand.IntN(40)) * time.Millisecond
			time.AfterFunc(delay, func() {
				_, _ = io.WriteString(c, copied)
				a.mutex.Lock()
				a.torn++
				a.mutex.Unlock()
				a.run.logf("worker %s sends %q once more, %v after its answer to %s", worker, copied, delay, id)
			})
		}
	}
}
