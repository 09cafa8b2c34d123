package worker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ModelConfig describes a model worker.
type ModelConfig struct {
	Config
	// Results is the store of the stage workers' results, where inputs are looked
	// up.
	Results *ResultStore
	// EventInterval is the time before each event of a stream.
	EventInterval time.Duration
	// Crash ends the worker's process: it closes all connections.
	Crash func()
}

// Model is a model worker: it streams the events of a generation, and holds the prompts
// that it has read.
type Model struct {
	config ModelConfig
	worker *Worker
	// mutex guards held, the prompt parts by the number of their tokens.
	mutex sync.Mutex
	held  map[string]int
}

// NewModel returns a model worker.
func NewModel(c ModelConfig) *Model {
	return &Model{config: c, worker: NewWorker(c.Config), held: map[string]int{}}
}

// SetFaults replaces the worker's faults.
func (m *Model) SetFaults(f Faults) { m.worker.SetFaults(f) }

// SetRateLimit sets the rate limit that the worker names.
func (m *Model) SetRateLimit(rate string) { m.worker.SetRateLimit(rate) }

// StreamEvent returns event n of a request's stream, counted from 1, in the
// server-sent events format.
func StreamEvent(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: word %d of %s\n\n", n, n, request)
}

// ServeHTTP serves one generation, which sends as many events as the request
// allows output tokens. A request whose inputs are gone is declined with the
// status 409 Conflict.
func (m *Model) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/api/kv-list" {
		m.worker.describeItself(out)
		m.listPrompts(out)
		return
	}
	if m.worker.serveHealth(out, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !m.worker.admit(out, r) {
		return
	}
	if handles := r.Header.Get("Inputs"); handles != "" {
		found, problem := m.config.Results.checkInputs(id, strings.Split(handles, ","))
		if problem != "" {
			m.config.Recorder.RecordProblemf("%s: %s", m.config.Name, problem)
		}
		if !found {
			out.Header().Set("Not-Executed", "1")
			out.WriteHeader(http.StatusConflict)
			return
		}
	}
	defer m.config.Recorder.RecordRun(id, m.config.Name)()
	if part := m.worker.currentFaults().CrashPart; part != "" && hasSharedPart(r.Header.Get("Prompt-Prefix"), part) {
		m.setHeld(nil)
		m.config.Crash()
		panic(http.ErrAbortHandler)
	}
	m.hold(r.Header.Get("Prompt-Prefix"))
	m.stream(out, r, id)
}

// hold keeps the parts of a prompt, given as a comma-separated list of ID:TOKENS.
func (m *Model) hold(prompt string) {
	held := map[string]int{}
	for part := range strings.SplitSeq(prompt, ",") {
		id, text, _ := strings.Cut(part, ":")
		if tokens, err := strconv.Atoi(text); err == nil {
			held[id] = tokens
		}
	}
	m.setHeld(held)
}

// setHeld adds parts to those that the worker holds; nil removes all.
func (m *Model) setHeld(parts map[string]int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if parts == nil {
		clear(m.held)
	}
	maps.Copy(m.held, parts)
}

// listPrompts lists the parts that the worker holds.
func (m *Model) listPrompts(out http.ResponseWriter) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := [][]any{}
	for id, tokens := range m.held {
		held = append(held, []any{"", id, tokens, "m"})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"epoch": 1, "next": len(held), "held": held})
}

// hasSharedPart reports whether a prompt, given as a comma-separated list of ID:TOKENS,
// has a part before its last one.
func hasSharedPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		id, _, _ := strings.Cut(p, ":")
		return id == part
	})
}

// stream sends the events after the one that the request names in Last-Event-Id.
func (m *Model) stream(out http.ResponseWriter, r *http.Request, id string) {
	_, maxTokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	count, err := strconv.Atoi(maxTokens)
	if err != nil {
		m.config.Recorder.RecordProblemf("%s: request %s has token count %q", m.config.Name, id, r.Header.Get("Token-Count"))
		return
	}
	lastEventID := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		if lastEventID, err = strconv.Atoi(text); err != nil {
			m.config.Recorder.RecordProblemf("%s: request %s goes on after %q", m.config.Name, id, text)
		}
	}
	out.Header().Set("Response-Seal", Signature(m.config.Name, id))
	out.Header().Set("Content-Type", "text/event-stream")
	f := m.worker.currentFaults()
	if lastEventID > 0 && f.ResumeBody != "" {
		out.Header().Set("Content-Type", f.ResumeType)
		out.WriteHeader(cmp.Or(f.ResumeStatus, http.StatusOK))
		_, _ = io.WriteString(out, f.ResumeBody)
		return
	}
	if f.RepeatsEvents {
		lastEventID = 0
	}
	closeDelimited := f.CloseDelimited || f.CloseDelimitedResumes && lastEventID > 0
	if closeDelimited {
		delimitByClose(out)
	}
	truncates := f.Truncation != NoTruncation && (lastEventID == 0 || f.TruncatesResumes)
	if f.WithLength {
		length := 0
		for n := lastEventID + 1; n <= count; n++ {
			event := StreamEvent(id, n)
			if truncates && n-lastEventID > f.TruncateAfter {
				length += len(f.Truncation.cut(event))
				break
			}
			length += len(event)
		}
		out.Header().Set("Content-Length", strconv.Itoa(length))
	}
	controller := http.NewResponseController(out)
	_ = controller.Flush()
	for n := lastEventID + 1; n <= count; n++ {
		time.Sleep(m.config.EventInterval)
		if r.Context().Err() != nil {
			return
		}
		if closeDelimited && f.EndsEarly && n-lastEventID > f.EndAfterEvents {
			return
		}
		event := StreamEvent(id, n)
		if truncates && n-lastEventID > f.TruncateAfter {
			_, _ = io.WriteString(out, f.Truncation.cut(event))
			return
		}
		if cut := m.worker.currentFaults().CutAfterEvents; cut > 0 && n-lastEventID > cut {
			_, _ = io.WriteString(out, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, event)
		_ = controller.Flush()
	}
}
