// Package platform simulates the platform's configuration service and instance
// list: both can be read and watched, and every read is counted. Publishing with
// PUT replaces the platform's own tools for it.
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
	mutex               sync.Mutex
	configuration       []byte
	revision            uint64
	firstConfiguration  []byte
	instanceList        json.RawMessage
	instanceListVersion int64
	changed             chan struct{}
	faults              Faults
	reads               int64
}

// Faults are the platform's switchable faults.
type Faults struct {
	// Down makes every read fail.
	Down bool `json:"down"`
	// Stale answers reads of the configuration with the one published first.
	Stale bool `json:"stale"`
	// DelayMillis delays every read.
	DelayMillis int `json:"delayMillis"`
	// ListLagMillis is the time from the publication of an instance list until
	// reads return it.
	ListLagMillis int `json:"listLagMillis"`
}

// Counts are the platform's counters since its start.
type Counts struct {
	Reads int64 `json:"reads"`
}

// NewServer returns a platform that publishes nothing yet.
func NewServer() *Server { return &Server{changed: make(chan struct{})} }

// listHeader is the part of an instance list that the platform reads itself.
type listHeader struct {
	Version int64 `json:"version"`
}

// PublishInstanceList publishes an instance list. A list that is older than the
// published one is ignored; an error means that the version cannot be decoded.
func (s *Server) PublishInstanceList(data []byte) error {
	var header listHeader
	if err := json.Unmarshal(data, &header); err != nil {
		return err
	}
	s.mutex.Lock()
	lag := time.Duration(s.faults.ListLagMillis) * time.Millisecond
	s.mutex.Unlock()
	time.AfterFunc(lag, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if header.Version < s.instanceListVersion {
			return
		}
		s.instanceList = data
		s.instanceListVersion = header.Version
		s.wakeReaders()
	})
	return nil
}

// PublishConfiguration publishes a configuration; an error means that it cannot
// be decoded.
func (s *Server) PublishConfiguration(data []byte) error {
	d, err := configuration.Decode(data)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.firstConfiguration == nil {
		s.firstConfiguration = data
	}
	s.configuration = data
	s.revision = uint64(d.Revision)
	s.wakeReaders()
	return nil
}

// wakeReaders makes waiting reads look again. The caller holds the mutex.
func (s *Server) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves reads, publications, faults and counters.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		s.serveRead(w, r, func(after int64) []byte { return s.configurationAfter(after) })
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		s.serveRead(w, r, func(after int64) []byte {
			if s.instanceListVersion <= after {
				return nil
			}
			return s.instanceList
		})
	})
	mux.HandleFunc("PUT /configuration", s.handlePut(s.PublishConfiguration))
	mux.HandleFunc("PUT /instances", s.handlePut(s.PublishInstanceList))
	mux.HandleFunc("POST /fault", s.setFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(Counts{Reads: s.reads})
	})
	return mux
}

// configurationAfter returns the configuration if its revision is above a number,
// otherwise nil. While Stale is set it returns the first published configuration.
// The caller holds the mutex.
func (s *Server) configurationAfter(after int64) []byte {
	if s.faults.Stale {
		return s.firstConfiguration
	}
	if int64(s.revision) <= after {
		return nil
	}
	return s.configuration
}

// serveRead answers at once if there is something newer than the reader has, and
// otherwise waits for it as long as the query's waitMillis says. newer is called
// with the mutex held.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request, newer func(after int64) []byte) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
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

// handlePut returns a handler that publishes the request's body.
func (s *Server) handlePut(publish func([]byte) error) http.HandlerFunc {
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
	s.wakeReaders()
	s.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
