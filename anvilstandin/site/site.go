// Package site plays a small deployment of the users on loopback: a metadata
// store, plain, stage and model workers that are listed there, and a published
// configuration.
package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"anvilcross/anvilstandin/metadata"
	"anvilcross/anvilstandin/worker"
)

// Tenant and Key are the customer that the site knows.
const (
	Tenant = "parish"
	APIKey = "key-parish"
	// Host is the host of all routes.
	Host = "site.example"
)

// WorkersPerService is the number of workers of each service.
const WorkersPerService = 3

// Site is a running deployment.
type Site struct {
	MetadataStore *metadata.Store
	Recorder      *worker.Recorder
	Results       *worker.ResultStore
	// PlainWorkers, Stages and Models are the workers by name.
	PlainWorkers map[string]*worker.Worker
	StageWorkers map[string]*worker.Stage
	ModelWorkers map[string]*worker.Model

	config  Config
	address string
	servers []*http.Server
	entries map[string]entry
}

// Config sets up a Site.
type Config struct {
	// AdvertisedAddress returns the address under which a part is known, by its name and
	// its real address: that of a proxy, for example. It may be nil.
	AdvertisedAddress func(name, address string) (string, error)
}

type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// Start starts all parts on free ports of the loopback address.
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
		entries:       map[string]entry{},
	}
	address, err := s.serve(func(string) http.Handler { return s.MetadataStore })
	if err != nil {
		return nil, err
	}
	s.address = address
	for n := range WorkersPerService {
		zone := Zones()[n%len(Zones())]
		for _, service := range []string{"orders", "models", "registry", "planning"} {
			if err := s.add(service, n, zone); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	s.PublishConfiguration(1, nil)
	return s, nil
}

// Zones are the zones of the site.
func Zones() []string { return []string{"zone-a", "zone-b"} }

// StoreAddress is where the metadata store is reached.
func (s *Site) StoreAddress() string { return s.address }

func (s *Site) serve(handler func(address string) http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	server := &http.Server{Handler: handler(address), ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return address, nil
}

func (s *Site) add(service string, n int, zone string) error {
	name := fmt.Sprintf("%s-%d", service, n)
	c := worker.Config{Name: name, Recorder: s.Recorder, Tenants: map[string]bool{Tenant: true}, WorkTime: 5 * time.Millisecond}
	address, err := s.serve(func(address string) http.Handler {
		switch service {
		case "orders":
			s.PlainWorkers[name] = worker.NewWorker(c)
			return s.PlainWorkers[name]
		case "models":
			s.ModelWorkers[name] = worker.NewModel(worker.ModelConfig{Config: c, Results: s.Results, EventInterval: 3 * time.Millisecond})
			return s.ModelWorkers[name]
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
	s.PublishEntry(name, entry{Service: service, Address: address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
	return nil
}

// PublishEntry writes a worker's entry.
func (s *Site) PublishEntry(name string, e entry) {
	value, err := json.Marshal(e)
	if err != nil {
		panic("entry cannot be encoded: " + err.Error())
	}
	s.entries[name] = e
	s.MetadataStore.Put("servers/"+name, value)
}

// SetFaults switches the faults of a worker of any kind.
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

// Drain marks a worker as leaving.
func (s *Site) Drain(name string) {
	e := s.entries[name]
	e.State = "draining"
	s.PublishEntry(name, e)
}

// Restore marks a worker as ready again, under a new start.
func (s *Site) Restore(name string) {
	e := s.entries[name]
	e.State, e.Born = "ready", time.Now().UnixMilli()
	s.PublishEntry(name, e)
}

// PublishConfiguration publishes a configuration. The change edits it before.
func (s *Site) PublishConfiguration(version int, change func(map[string]any)) {
	pieces := map[string]any{"slots": 1, "queue": 0, "batch": 8, "call-ms": 40.0, "item-ms": 2.0, "headroom-mb": 9.0, "handle-s": 4.0, "link-mbps": 10000}
	stream := func(name string, resumable bool, attempts int, stages []any) map[string]any {
		return map[string]any{"name": name, "host": Host, "prefix": "/" + name + "/", "kind": "stream", "timeout-ms": 8000, "target-latency-ms": 1500, "priority": 0, "service": "models", "max-attempts": attempts, "stages": stages, "sticky": true, "resumable": resumable, "target-gap-ms": 400}
	}
	plain := func(name, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": Host, "prefix": "/" + name + "/", "kind": kind, "timeout-ms": 1500, "target-latency-ms": 200, "priority": 2, "service": "orders", "max-attempts": attempts}
	}
	c := map[string]any{
		"version": version,
		"routes": []any{
			plain("order", "unsafe", 1),
			plain("lookup", "safe", 2),
			stream("draft", false, 1, []any{map[string]any{"service": "registry", "after": []int{}, "length": 800000}}),
			stream("verse", true, 2, []any{
				map[string]any{"service": "registry", "after": []int{}, "length": 8000},
				map[string]any{"service": "planning", "after": []int{0}, "length": 60000},
			}),
		},
		"services": []any{
			map[string]any{"name": "orders", "health-path": "/health", "max-connections": 48},
			map[string]any{"name": "models", "health-path": "/health", "max-connections": 500, "engine": map[string]any{"slots": 128, "kv-capacity-tokens": 100000}},
			map[string]any{"name": "registry", "health-path": "/health", "max-connections": 500, "pieces": pieces},
			map[string]any{"name": "planning", "health-path": "/health", "max-connections": 500, "pieces": pieces},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api-keys": []string{APIKey}}},
	}
	if change != nil {
		change(c)
	}
	value, err := json.Marshal(c)
	if err != nil {
		panic("configuration cannot be encoded: " + err.Error())
	}
	s.MetadataStore.Put("op/config", value)
}

// Close stops all parts.
func (s *Site) Close() error {
	var failures []error
	for _, server := range s.servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}
