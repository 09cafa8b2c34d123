// Package worker simulates the workers of the users' platform by their published
// protocol: plain, stage and model workers. A recorder collects which requests
// plain and model workers received and ran, and protocol violations that any
// worker saw.
package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is one delivery of a request to a worker.
type Attempt struct {
	Worker string
	// Start is when the request arrived or, among the runs, began to run.
	Start time.Time
	// End is when the run ended; zero while it lasts, and for arrivals.
	End time.Time
}

// Record holds the attempts of one request at all workers.
type Record struct {
	// Arrivals are all attempts, Runs those that the worker began to run.
	Arrivals []Attempt
	Runs     []Attempt
	// Rests are the refusals with which a worker said that it wants nothing for a while.
	Rests []Attempt
}

// Recorder records what workers received and ran, and what they found wrong.
type Recorder struct {
	mutex    sync.Mutex
	records  map[string]*Record
	problems []string
}

// NewRecorder returns a recorder without records.
func NewRecorder() *Recorder { return &Recorder{records: map[string]*Record{}} }

// recordOf returns the record of a request and creates it if there is none. The
// caller holds the mutex.
func (rc *Recorder) recordOf(request string) *Record {
	r := rc.records[request]
	if r == nil {
		r = &Record{}
		rc.records[request] = r
	}
	return r
}

// RecordArrival records that a request reached a worker.
func (rc *Recorder) RecordArrival(request, worker string) {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	r := rc.recordOf(request)
	r.Arrivals = append(r.Arrivals, Attempt{Worker: worker, Start: time.Now()})
}

// RecordRest records that a worker refused a request and wants nothing for a while.
func (rc *Recorder) RecordRest(request, worker string) {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	r := rc.recordOf(request)
	r.Rests = append(r.Rests, Attempt{Worker: worker, Start: time.Now()})
}

// RecordRun records that a worker began to run a request, and returns the function
// to call when the run ends.
func (rc *Recorder) RecordRun(request, worker string) func() {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	r := rc.recordOf(request)
	n := len(r.Runs)
	r.Runs = append(r.Runs, Attempt{Worker: worker, Start: time.Now()})
	return func() {
		rc.mutex.Lock()
		defer rc.mutex.Unlock()
		r.Runs[n].End = time.Now()
	}
}

// WorkersThatRan returns the worker of each run of a request, in order.
func (rc *Recorder) WorkersThatRan(request string) []string {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	var workers []string
	if r := rc.records[request]; r != nil {
		for _, a := range r.Runs {
			workers = append(workers, a.Worker)
		}
	}
	return workers
}

// Records returns a copy of the records by request id.
func (rc *Recorder) Records() map[string]Record {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	all := make(map[string]Record, len(rc.records))
	for id, r := range rc.records {
		all[id] = Record{Arrivals: slices.Clone(r.Arrivals), Runs: slices.Clone(r.Runs), Rests: slices.Clone(r.Rests)}
	}
	return all
}

// RecordProblemf records a violation of the protocol.
func (rc *Recorder) RecordProblemf(format string, args ...any) {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	rc.problems = append(rc.problems, fmt.Sprintf(format, args...))
}

// Problems returns the recorded violations of the protocol.
func (rc *Recorder) Problems() []string {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	return append([]string(nil), rc.problems...)
}

// Faults are a worker's switchable faults.
type Faults struct {
	// Full makes workers decline every request or call as not executed.
	Full bool
	// Rest is the Retry-After, in seconds, with which a full worker declines; empty for
	// none.
	Rest string
	// OmitsID makes full workers leave the request's id out of their refusals.
	OmitsID bool
	// RepeatsRefusals makes plain workers write their last refusal on a connection once
	// more when the next request comes there, before they run that request.
	RepeatsRefusals bool
	// Leaving makes workers say in all their answers that they leave.
	Leaving bool
	// ExtraWork is added to the service time of plain requests.
	ExtraWork time.Duration
	// Disconnects makes plain and stage workers close the connection after the
	// work, without a response.
	Disconnects bool
	// CloseDelimited makes plain and model workers mark the end of a response only by
	// closing the connection.
	CloseDelimited bool
	// CloseDelimitedResumes does so only for streams that go on after an event.
	CloseDelimitedResumes bool
	// CutAfterEvents makes model workers close the connection within the event that
	// follows this number of events; zero for never.
	CutAfterEvents int
	// EndsEarly makes model workers end a stream that is delimited by closing the
	// connection after EndAfterEvents events, as if it were complete.
	EndsEarly      bool
	EndAfterEvents int
	// Truncation makes model workers leave the rest out of the event after TruncateAfter
	// events of an answer, and end the answer as if it were complete. Those that go on
	// after an event are whole unless TruncatesResumes is set. WithLength makes workers
	// send streams with a length.
	Truncation       Truncation
	TruncateAfter    int
	TruncatesResumes bool
	WithLength       bool
	// ResumeType and ResumeBody replace the streams of model workers that go on after an
	// event, with ResumeStatus or 200; RepeatsEvents makes these begin with the first event.
	ResumeType    string
	ResumeBody    string
	ResumeStatus  int
	RepeatsEvents bool
	// CrashPart makes model workers crash when they begin to answer a request whose
	// prompt has this part before its last one; empty for none.
	CrashPart string
}

// Truncation says how much of an event a worker writes.
type Truncation int

// Truncations.
const (
	NoTruncation Truncation = iota
	InsideLine
	AfterLine
)

// cut returns the part of an event that is written.
func (t Truncation) cut(event string) string {
	if t == AfterLine {
		return event[:strings.Index(event, "\n")+1]
	}
	return event[:len(event)/2]
}

// Config describes one worker.
type Config struct {
	Name     string
	Recorder *Recorder
	// Tenants holds the names of the tenants whose requests are expected.
	Tenants map[string]bool
	// WorkTime is the service time of a plain request.
	WorkTime time.Duration
}

// Worker is a plain worker; the other kinds of workers build on it.
type Worker struct {
	config Config
	mutex  sync.Mutex
	faults Faults
	// rateLimit is the number of requests per second that the worker says it takes from
	// all callers together; empty if it says nothing.
	rateLimit string
	cold      coldState
	// refusals holds the last refusal on each connection, by the caller's address.
	refusals map[string]string
}

// NewWorker returns a plain worker.
func NewWorker(c Config) *Worker { return &Worker{config: c, refusals: map[string]string{}} }

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

// SetRateLimit sets the requests per second that the worker says it takes from all callers
// together; empty for none.
func (w *Worker) SetRateLimit(rate string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rateLimit = rate
}

func (w *Worker) currentFaults() Faults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}

// Signature returns a worker's signature of its response to a request, which the
// response carries in its Response-Seal header.
func Signature(worker, request string) string {
	sum := sha256.Sum256([]byte(worker + "/" + request))
	return hex.EncodeToString(sum[:8])
}

// ResponseBody returns the body of a plain worker's response to a request.
func ResponseBody(request string, body []byte) string {
	return fmt.Sprintf("done %s %x\n", request, sha256.Sum256(body))
}

// admit reports whether the worker may run a request; if not, it has sent the
// response. It records a problem if the request carries the caller's key, an
// unknown tenant or no remaining time.
func (w *Worker) admit(out http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	w.describeItself(out)
	if expected := r.Header.Get("Expect-Instance"); expected != w.config.Name {
		out.Header().Set("Instance-Id", w.config.Name)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.config.Recorder.RecordArrival(id, w.config.Name)
	w.takeCold()
	if f := w.currentFaults(); f.Full {
		if f.OmitsID {
			out.Header().Del("Request-Id")
		}
		if f.Rest != "" {
			w.config.Recorder.RecordRest(id, w.config.Name)
		}
		w.decline(out)
		w.keepRefusal(r.RemoteAddr, out.Header())
		return false
	}
	if r.Header.Get("Authorization") != "" {
		w.config.Recorder.RecordProblemf("%s: request %s came with its key", w.config.Name, id)
	}
	if !w.config.Tenants[r.Header.Get("Tenant")] {
		w.config.Recorder.RecordProblemf("%s: request %s has tenant %q", w.config.Name, id, r.Header.Get("Tenant"))
	}
	if remainingMillis, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err != nil || remainingMillis <= 0 {
		w.config.Recorder.RecordProblemf("%s: request %s has deadline %q", w.config.Name, id, r.Header.Get("Deadline-Ms"))
	}
	return true
}

// describeItself adds to a response what the worker says of itself in all of them.
func (w *Worker) describeItself(out http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.rateLimit != "" {
		out.Header().Set("Server-Limit", w.rateLimit)
	}
	if w.faults.Leaving {
		out.Header().Set("Server-Leaving", "1")
	}
}

// decline answers that the worker is full and did not run the request.
func (w *Worker) decline(out http.ResponseWriter) {
	if rest := w.currentFaults().Rest; rest != "" {
		out.Header().Set("Retry-After", rest)
	}
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// keepRefusal keeps the bytes of a refusal, which may be written once more.
func (w *Worker) keepRefusal(connection string, header http.Header) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	text := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	if id := header.Get("Request-Id"); id != "" {
		text += "Request-Id: " + id + "\r\n"
	}
	w.refusals[connection] = text + "\r\n"
}

// repeatRefusal writes the last refusal on a connection once more, if there is one and the
// worker has that fault, and then runs the request. It reports whether it did.
func (w *Worker) repeatRefusal(out http.ResponseWriter, r *http.Request, id string, body []byte) bool {
	w.mutex.Lock()
	refusal := w.refusals[r.RemoteAddr]
	delete(w.refusals, r.RemoteAddr)
	repeats := w.faults.RepeatsRefusals
	w.mutex.Unlock()
	if !repeats || refusal == "" {
		return false
	}
	connection, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		w.config.Recorder.RecordProblemf("%s: the connection cannot be taken over: %v", w.config.Name, err)
		return true
	}
	defer func() { _ = connection.Close() }()
	defer w.config.Recorder.RecordRun(id, w.config.Name)()
	_, _ = io.WriteString(connection, refusal)
	time.Sleep(w.config.WorkTime + w.currentFaults().ExtraWork)
	answer := ResponseBody(id, body)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, Signature(w.config.Name, id), len(answer), answer)
	return true
}

// delimitByClose gives a response neither a length nor chunks.
func delimitByClose(out http.ResponseWriter) {
	out.Header().Set("Connection", "close")
	out.Header().Set("Transfer-Encoding", "identity")
}

// ServeHTTP serves a plain request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if w.serveHealth(out, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil || !w.admit(out, r) || w.repeatRefusal(out, r, id, body) {
		return
	}
	defer w.config.Recorder.RecordRun(id, w.config.Name)()
	time.Sleep(w.config.WorkTime + w.currentFaults().ExtraWork)
	f := w.currentFaults()
	if f.Disconnects {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Response-Seal", Signature(w.config.Name, id))
	out.Header().Set("Server-Load", "1,0,6")
	if f.CloseDelimited {
		delimitByClose(out)
	}
	_, _ = io.WriteString(out, ResponseBody(id, body))
}
