// Package deployment finds the parts of a deployment that was laid out on
// this machine: its configuration, its instances and its endpoints' books.
package deployment

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/route"
)

// Deployment is what the files in a directory describe.
type Deployment struct {
	Document        *configuration.Document
	Instances       []instance.ListEntry
	Endpoints       []route.Listing
	PlatformAddress string
}

type list struct {
	Instances []instance.ListEntry `json:"instances"`
	Endpoints []route.Listing      `json:"endpoints"`
}

// Open reads a directory that anvilcross local has written.
func Open(directory string) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(directory, "configuration.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	document, err := configuration.Decode(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err = os.ReadFile(filepath.Join(directory, "instances.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Trace(err)
	}
	platform, err := os.ReadFile(filepath.Join(directory, "platform"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Deployment{Document: document, Instances: l.Instances, Endpoints: l.Endpoints, PlatformAddress: strings.TrimSpace(string(platform))}, nil
}

// OpenReady reads a directory and waits until its instances are ready.
func OpenReady(directory string) (*Deployment, error) {
	d, err := Open(directory)
	if err != nil {
		return nil, err
	}
	return d, d.waitReady()
}

// Pipeline returns a pipeline of the deployment, or an error that names it.
func (d *Deployment) Pipeline(name ident.Pipeline) (*configuration.Pipeline, error) {
	if p := d.Document.Pipeline(name); p != nil {
		return p, nil
	}
	return nil, errors.Errorf("there is no pipeline %q", name)
}

// readyLimit is how long an instance may take to become ready.
const readyLimit = 15 * time.Second

const readyPoll = 50 * time.Millisecond

// waitReady waits until every instance is ready.
func (d *Deployment) waitReady() error {
	end := time.Now().Add(readyLimit)
	for _, i := range d.Instances {
		for !ready(i.OperatorAddress) {
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready after %v", i.Seat, readyLimit)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Execution is one executed call in a service's books.
type Execution struct {
	Key   string    `json:"key"`
	Stage string    `json:"stage"`
	At    time.Time `json:"at"`
}

// Executions returns the executed calls of a service.
func (d *Deployment) Executions(service ident.Service) ([]Execution, error) {
	for _, e := range d.Endpoints {
		if e.Service != service {
			continue
		}
		response, err := http.Get("http://" + e.Address + "/books")
		if err != nil {
			continue
		}
		var entries []Execution
		err = json.NewDecoder(response.Body).Decode(&entries)
		_ = response.Body.Close()
		return entries, errors.Trace(err)
	}
	return nil, errors.Errorf("no endpoint of %s shows its books", service)
}

// ExecutionCounts counts the executions of every key in the non-idempotent stages.
func (d *Deployment) ExecutionCounts() (map[string]int, error) {
	runs := map[string]int{}
	done := map[ident.Service]bool{}
	for _, p := range d.Document.Pipelines {
		for _, s := range p.Stages {
			if s.Idempotent || done[s.Service] {
				continue
			}
			done[s.Service] = true
			entries, err := d.Executions(s.Service)
			if err != nil {
				return nil, err
			}
			for _, e := range entries {
				runs[e.Key]++
			}
		}
	}
	return runs, nil
}
