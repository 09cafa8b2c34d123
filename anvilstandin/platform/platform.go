// Package platform plays the platform's configuration service and instance
// list: both can be read and watched, and every call is counted. Operators
// publish with PUT, which stands for the platform's own means.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"anvilcross/kernel/configuration"
)

// Server is the platform of one deployment.
type Server struct {
	mutex         sync.Mutex
	configuration []byte
	revision      uint64
	past          []byte
	list          json.RawMessage
	listVersion   int64
	changed       chan struct{}
	faults        Faults
	reads         int64
}

// Faults are the platform's switchable faults.
type Faults struct {
	// Down makes every read fail.
	Down bool `json:"down"`
	// Stale answers with the first published revision.
	Stale bool `json:"stale"`
	// Delay slows every read down, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// ListLagMillis is how late a published instance list is shown.
	ListLagMillis int `json:"listLagMillis"`
}

// Counts are what the platform has counted.
type Counts struct {
	Reads int64 `json:"reads"`
}

// NewServer returns a platform that publishes nothing yet.
func NewServer() *Server { return &Server{changed: make(chan struct{})} }

type listVersion struct {
	Version int64 `json:"version"`
}

// PublishInstanceList publishes the instance list.
func (s *Server) PublishInstanceList(data []byte) error {
	var v listVersion
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	s.mutex.Lock()
	lag := time.Duration(s.faults.ListLagMillis) * time.Millisecond
	s.mutex.Unlock()
	time.AfterFunc(lag, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if v.Version < s.listVersion {
			return
		}
		s.list = data
		s.listVersion = v.Version
		s.wake()
	})
	return nil
}

// PublishConfiguration publishes a configuration.
func (s *Server) PublishConfiguration(data []byte) error {
	d, err := configuration.Decode(data)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.past == nil {
		s.past = data
	}
	s.configuration = data
	s.revision = uint64(d.Revision)
	s.wake()
	return nil
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves readers, and the tool's PUTs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		s.read(w, r, func(after int64) []byte { return s.current(after) })
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		s.read(w, r, func(after int64) []byte {
			if s.listVersion <= after {
				return nil
			}
			return s.list
		})
	})
	mux.HandleFunc("PUT /configuration", s.put(s.PublishConfiguration))
	mux.HandleFunc("PUT /instances", s.put(s.PublishInstanceList))
	mux.HandleFunc("POST /fault", s.setFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(Counts{Reads: s.reads})
	})
	return mux
}

func (s *Server) current(after int64) []byte {
	if s.faults.Stale {
		return s.past
	}
	if int64(s.revision) <= after {
		return nil
	}
	return s.configuration
}

// read answers at once when there is something newer than the reader has, or
// waits for it as long as the reader asked.
func (s *Server) read(w http.ResponseWriter, r *http.Request, newer func(after int64) []byte) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mutex.Lock()
	s.reads++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		f, data, changed := s.faults, newer(after), s.changed
		s.mutex.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if data != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) put(publish func([]byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4*configuration.MaxDocumentBytes))
		if err == nil {
			err = publish(data)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.faults = f
	s.wake()
	s.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
