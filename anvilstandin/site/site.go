// Package site simulates a small users' platform on the loopback interface: a
// metadata store, the plain, stage and model workers that are listed in it, and a
// published configuration.
package site

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"anvilcross/anvilstandin/metadata"
	"anvilcross/anvilstandin/worker"
)

const (
	// Tenant is the only tenant of the site, APIKey its key.
	Tenant = "parish"
	APIKey = "key-parish"
	// Host is the Host header of all routes.
	Host = "site.example"
)

// WorkersPerService is the number of workers of each service.
const WorkersPerService = 3

// Site is a running platform.
type Site struct {
	MetadataStore *metadata.Store
	Recorder      *worker.Recorder
	Results       *worker.ResultStore
	// PlainWorkers, StageWorkers and ModelWorkers hold the workers by name.
	PlainWorkers map[string]*worker.Worker
	StageWorkers map[string]*worker.Stage
	ModelWorkers map[string]*worker.Model

	config       Config
	storeAddress string
	// mutex guards the fields below.
	mutex   sync.Mutex
	servers []*http.Server
	// entries holds the published entry of each worker by its name.
	entries map[string]workerEntry
	// crashes counts the crashes of workers.
	crashes int
	closed  bool
}

// crashDowntime is the time from a worker's crash to its start at the same address.
const crashDowntime = time.Second

// eventInterval is the pause between the events of a model worker's streams.
const eventInterval = 3 * time.Millisecond

// Config sets up a Site.
type Config struct {
	// AdvertisedAddress returns the address to publish for a worker, given its
	// name and the address it listens on: that of a proxy, for example. It may be
	// nil, in which case the worker's own address is published.
	AdvertisedAddress func(name, address string) (string, error)
	// ModelVersions holds the software versions of the model workers, which have them in
	// turn; v1 if it is empty. Other workers have v1.
	ModelVersions []string
	// EventInterval is the pause between the events of streams; eventInterval if it is zero.
	EventInterval time.Duration
}

// ModelVersion returns the software version of a model worker, given its number.
func (c Config) ModelVersion(n int) string {
	if len(c.ModelVersions) == 0 {
		return "v1"
	}
	return c.ModelVersions[n%len(c.ModelVersions)]
}

// workerEntry is a worker's record in the metadata store.
type workerEntry struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	Sequence        int    `json:"sequence"`
	StartedAtMillis int64  `json:"born"`
	// ColdMillis is how much longer the worker is cold; nil if its entry does not tell.
	ColdMillis *int64 `json:"cold-remaining-ms,omitempty"`
}

// Start starts the metadata store and the workers on free ports of the loopback
// address, and publishes the workers' entries and version 1 of the configuration.
func Start(c Config) (*Site, error) {
	if c.AdvertisedAddress == nil {
		c.AdvertisedAddress = func(_, address string) (string, error) { return address, nil }
	}
	s := &Site{
		config:        c,
		MetadataStore: metadata.NewStore(),
		Recorder:      worker.NewRecorder(),
		Results:       worker.NewResultStore(),
		PlainWorkers:  map[string]*worker.Worker{},
		StageWorkers:  map[string]*worker.Stage{},
		ModelWorkers:  map[string]*worker.Model{},
		entries:       map[string]workerEntry{},
	}
	address, err := s.startServer(func(string) http.Handler { return s.MetadataStore })
	if err != nil {
		return nil, err
	}
	s.storeAddress = address
	for n := range WorkersPerService {
		zone := Zones()[n%len(Zones())]
		for _, service := range []string{"orders", "models", "registry", "planning"} {
			if err := s.startWorker(service, n, zone); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	s.PublishConfiguration(1, nil)
	return s, nil
}

// Zones returns the zones over which the workers are spread.
func Zones() []string { return []string{"zone-a", "zone-b"} }

// StoreAddress returns the host:port of the metadata store.
func (s *Site) StoreAddress() string { return s.storeAddress }

// startServer serves a handler on a free port and returns the address.
func (s *Site) startServer(handler func(address string) http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	s.serve(listener, handler(address))
	return address, nil
}

func (s *Site) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return server
}

// startModelWorker starts a model worker that can crash, and returns its address.
func (s *Site) startModelWorker(c worker.ModelConfig) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	var mutex sync.Mutex
	var server *http.Server
	up := true
	c.Crash = func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !up {
			return
		}
		up = false
		s.countCrash()
		_ = server.Close()
		time.AfterFunc(crashDowntime, func() {
			listener, err := net.Listen("tcp4", address)
			if err != nil || s.isClosed() {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			server, up = s.serve(listener, s.ModelWorkers[c.Name]), true
			s.Restore(c.Name)
		})
	}
	s.ModelWorkers[c.Name] = worker.NewModel(c)
	mutex.Lock()
	defer mutex.Unlock()
	server = s.serve(listener, s.ModelWorkers[c.Name])
	return address, nil
}

func (s *Site) countCrash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes++
}

func (s *Site) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Crashes returns the number of crashes of workers so far.
func (s *Site) Crashes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes
}

// startWorker starts worker n of a service and publishes its entry.
func (s *Site) startWorker(service string, n int, zone string) error {
	name := fmt.Sprintf("%s-%d", service, n)
	c := worker.Config{Name: name, Recorder: s.Recorder, Tenants: map[string]bool{Tenant: true}, WorkTime: 5 * time.Millisecond}
	start := s.startServer
	if service == "models" {
		start = func(func(string) http.Handler) (string, error) {
			return s.startModelWorker(worker.ModelConfig{Config: c, Results: s.Results, EventInterval: cmp.Or(s.config.EventInterval, eventInterval)})
		}
	}
	address, err := start(func(address string) http.Handler {
		if service == "orders" {
			s.PlainWorkers[name] = worker.NewWorker(c)
			return s.PlainWorkers[name]
		}
		s.StageWorkers[name] = worker.NewStage(worker.StageConfig{Config: c, Address: address, MaxBatch: 8, FreeCapacityMB: 9, Results: s.Results, CallTime: 40 * time.Millisecond, PieceTime: 2 * time.Millisecond})
		return s.StageWorkers[name]
	})
	if err != nil {
		return err
	}
	if address, err = s.config.AdvertisedAddress(name, address); err != nil {
		return err
	}
	version := "v1"
	if service == "models" {
		version = s.config.ModelVersion(n)
	}
	s.PublishEntry(name, workerEntry{Service: service, Address: address, Zone: zone, Version: version, Slots: 6, State: "ready", Sequence: 1, StartedAtMillis: time.Now().UnixMilli()})
	return nil
}

// PublishEntry writes a worker's entry to the metadata store.
func (s *Site) PublishEntry(name string, e workerEntry) {
	value, err := json.Marshal(e)
	if err != nil {
		panic("entry cannot be encoded: " + err.Error())
	}
	s.mutex.Lock()
	s.entries[name] = e
	s.mutex.Unlock()
	s.MetadataStore.Put("servers/"+name, value)
}

// Workers returns the names of all workers.
func (s *Site) Workers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.entries))
}

// Version returns the software version that a worker's entry names.
func (s *Site) Version(name string) string { return s.entry(name).Version }

func (s *Site) entry(name string) workerEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entries[name]
}

// SetFaults sets the faults of a worker of any kind.
func (s *Site) SetFaults(name string, f worker.Faults) {
	if w := s.PlainWorkers[name]; w != nil {
		w.SetFaults(f)
	}
	if w := s.StageWorkers[name]; w != nil {
		w.SetFaults(f)
	}
	if w := s.ModelWorkers[name]; w != nil {
		w.SetFaults(f)
	}
}

// SetRateLimit sets the requests per second that a worker of any kind says it takes;
// empty for none.
func (s *Site) SetRateLimit(name, rate string) {
	if w := s.PlainWorkers[name]; w != nil {
		w.SetRateLimit(rate)
	}
	if w := s.StageWorkers[name]; w != nil {
		w.SetRateLimit(rate)
	}
	if w := s.ModelWorkers[name]; w != nil {
		w.SetRateLimit(rate)
	}
}

// Chill makes a plain worker cold for a time, or warm again, and writes that to its entry.
func (s *Site) Chill(name string, d time.Duration, perSecond float64) {
	s.PlainWorkers[name].Chill(d, perSecond)
	e, millis := s.entry(name), d.Milliseconds()
	e.ColdMillis = &millis
	e.Sequence++
	s.PublishEntry(name, e)
}

// RewriteEntries writes the entries of all workers again, as they do once the metadata
// store was restored from a copy.
func (s *Site) RewriteEntries() {
	s.mutex.Lock()
	entries := maps.Clone(s.entries)
	s.mutex.Unlock()
	for name, e := range entries {
		s.PublishEntry(name, e)
	}
}

// Drain marks a worker as draining.
func (s *Site) Drain(name string) {
	e := s.entry(name)
	e.State = "draining"
	e.Sequence++
	s.PublishEntry(name, e)
}

// Restore marks a worker as ready again, with a new start time, as after a
// restart.
func (s *Site) Restore(name string) {
	e := s.entry(name)
	e.State, e.StartedAtMillis = "ready", time.Now().UnixMilli()
	s.PublishEntry(name, e)
}

// PublishConfiguration publishes the site's configuration under a version, after
// applying edit to it unless that is nil.
func (s *Site) PublishConfiguration(version int, edit func(map[string]any)) {
	pieceSettings := map[string]any{"slots": 1, "queue": 0, "batch": 8, "call-ms": 40.0, "item-ms": 2.0, "headroom-mb": 9.0, "handle-s": 4.0, "link-mbps": 10000}
	streamRoute := func(name string, resumable bool, attempts int, stages []any) map[string]any {
		return map[string]any{"name": name, "host": Host, "prefix": "/" + name + "/", "kind": "stream", "timeout-ms": 8000, "target-latency-ms": 1500, "priority": 0, "service": "models", "max-attempts": attempts, "stages": stages, "sticky": true, "resumable": resumable, "target-gap-ms": 400}
	}
	plainRoute := func(name, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": Host, "prefix": "/" + name + "/", "kind": kind, "timeout-ms": 1500, "target-latency-ms": 200, "priority": 2, "service": "orders", "max-attempts": attempts}
	}
	c := map[string]any{
		"version": version,
		"routes": []any{
			plainRoute("order", "unsafe", 1),
			plainRoute("lookup", "safe", 2),
			streamRoute("draft", false, 1, []any{map[string]any{"service": "registry", "after": []int{}, "length": 800000}}),
			streamRoute("verse", true, 2, []any{
				map[string]any{"service": "registry", "after": []int{}, "length": 8000},
				map[string]any{"service": "planning", "after": []int{0}, "length": 60000},
			}),
		},
		"services": []any{
			map[string]any{"name": "orders", "health-path": "/health", "max-connections": 48},
			map[string]any{"name": "models", "health-path": "/health", "max-connections": 500, "engine": map[string]any{"slots": 128, "kv-capacity-tokens": 100000}},
			map[string]any{"name": "registry", "health-path": "/health", "max-connections": 500, "pieces": pieceSettings},
			map[string]any{"name": "planning", "health-path": "/health", "max-connections": 500, "pieces": pieceSettings},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api-keys": []string{APIKey}}},
	}
	if edit != nil {
		edit(c)
	}
	value, err := json.Marshal(c)
	if err != nil {
		panic("configuration cannot be encoded: " + err.Error())
	}
	s.MetadataStore.Put("op/config", value)
}

// Close stops all servers.
func (s *Site) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	var failures []error
	for _, server := range s.servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}
