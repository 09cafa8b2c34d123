package worker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ModelConfig describes a model worker.
type ModelConfig struct {
	Config
	Results *ResultStore
	// EventInterval is the time between two events.
	EventInterval time.Duration
}

// Model is a model worker: it streams events.
type Model struct {
	config ModelConfig
	worker *Worker
}

// NewModel returns a model worker.
func NewModel(c ModelConfig) *Model { return &Model{config: c, worker: NewWorker(c.Config)} }

// SetFaults switches faults.
func (m *Model) SetFaults(f Faults) { m.worker.SetFaults(f) }

// StreamEvent is one event of a request's stream.
func StreamEvent(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: word %d of %s\n\n", n, n, request)
}

// ServeHTTP serves one generation. The number of events is the request's
// maximum of output tokens.
func (m *Model) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !m.worker.admit(out, r) {
		return
	}
	if list := r.Header.Get("Inputs"); list != "" {
		found, problem := m.config.Results.take(id, strings.Split(list, ","))
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
	m.stream(out, r, id)
}

func (m *Model) stream(out http.ResponseWriter, r *http.Request, id string) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	count, err := strconv.Atoi(most)
	if err != nil {
		m.config.Recorder.RecordProblemf("%s: request %s has token count %q", m.config.Name, id, r.Header.Get("Token-Count"))
		return
	}
	from := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		if from, err = strconv.Atoi(text); err != nil {
			m.config.Recorder.RecordProblemf("%s: request %s goes on after %q", m.config.Name, id, text)
		}
	}
	out.Header().Set("Response-Seal", Signature(m.config.Name, id))
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	for n := from + 1; n <= count; n++ {
		time.Sleep(m.config.EventInterval)
		if r.Context().Err() != nil {
			return
		}
		event := StreamEvent(id, n)
		if cut := m.worker.fault().CutAfterEvents; cut > 0 && n-from > cut {
			_, _ = io.WriteString(out, event[:len(event)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, event)
		_ = control.Flush()
	}
}
