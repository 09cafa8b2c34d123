// Package deployment gives load tools access to a deployment on this machine
// that "anvilcross local" wrote: its configuration, its instances, its
// endpoints and the executions that the endpoints recorded.
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

// Deployment describes a deployment as its directory's files give it.
type Deployment struct {
	Document        *configuration.Document
	Instances       []instance.ListEntry
	Endpoints       []route.Listing
	PlatformAddress string
}

// listFile is the content of instances.json.
type listFile struct {
	Instances []instance.ListEntry `json:"instances"`
	Endpoints []route.Listing      `json:"endpoints"`
}

// Open reads a directory that "anvilcross local" has written.
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
	var listed listFile
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, errors.Trace(err)
	}
	platformAddress, err := os.ReadFile(filepath.Join(directory, "platform"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Deployment{Document: document, Instances: listed.Instances, Endpoints: listed.Endpoints, PlatformAddress: strings.TrimSpace(string(platformAddress))}, nil
}

// OpenReady opens a directory and waits until its instances are ready. If that
// times out, it returns the deployment and an error.
func OpenReady(directory string) (*Deployment, error) {
	d, err := Open(directory)
	if err != nil {
		return nil, err
	}
	return d, d.waitReady()
}

// Pipeline returns the pipeline with a name, or an error if there is none.
func (d *Deployment) Pipeline(name ident.Pipeline) (*configuration.Pipeline, error) {
	if p := d.Document.Pipeline(name); p != nil {
		return p, nil
	}
	return nil, errors.Errorf("there is no pipeline %q", name)
}

// readyTimeout limits the wait for all instances to become ready.
const readyTimeout = 15 * time.Second

const readyPollInterval = 50 * time.Millisecond

// waitReady waits until every instance is ready.
func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range d.Instances {
		for !isReady(i.OperatorAddress) {
			if time.Now().After(deadline) {
				return errors.Errorf("instance %s is not ready after %v", i.Seat, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// isReady asks an instance's operator interface whether it is ready.
func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Execution is one call that a service recorded as executed. Key is the text
// of the request's key.
type Execution struct {
	Key   string    `json:"key"`
	Stage string    `json:"stage"`
	At    time.Time `json:"at"`
}

// Executions returns the executed calls of a service, as its first reachable
// endpoint reports them. All endpoints of a service share one execution log.
func (d *Deployment) Executions(service ident.Service) ([]Execution, error) {
	for _, e := range d.Endpoints {
		if e.Service != service {
			continue
		}
		response, err := http.Get("http://" + e.Address + "/books")
		if err != nil {
			continue
		}
		var executions []Execution
		err = json.NewDecoder(response.Body).Decode(&executions)
		_ = response.Body.Close()
		return executions, errors.Trace(err)
	}
	return nil, errors.Errorf("no endpoint of %s reports its executions", service)
}

// ExecutionCounts returns how often each request key was executed by services
// that run non-idempotent stages.
func (d *Deployment) ExecutionCounts() (map[string]int, error) {
	counts := map[string]int{}
	counted := map[ident.Service]bool{}
	for _, p := range d.Document.Pipelines {
		for _, s := range p.Stages {
			if s.Idempotent || counted[s.Service] {
				continue
			}
			counted[s.Service] = true
			executions, err := d.Executions(s.Service)
			if err != nil {
				return nil, err
			}
			for _, e := range executions {
				counts[e.Key]++
			}
		}
	}
	return counts, nil
}
