// Package local lays out a whole deployment on one machine: it writes the files
// and a list of processes, which a script starts.
package local

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/route"
)

// Config describes the deployment to lay out.
type Config struct {
	Document  *configuration.Document
	Directory string
	// BasePort is the port before the first one to use.
	BasePort int
	// ServiceTimeFactor multiplies the service times of the simulated endpoints.
	ServiceTimeFactor float64
	RoutingPolicy     string
}

// listEntry is an instance in the platform's list.
type listEntry struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

type instanceList struct {
	Version   int64           `json:"version"`
	Instances []listEntry     `json:"instances"`
	Endpoints []route.Listing `json:"endpoints"`
}

// settingsData fills settingsTemplate, which refers to its fields by name.
type settingsData struct {
	listEntry
	Platform  string
	TicketKey string
	PeerKey   string
	Policy    string
	Delay     string
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[instance]
seat = {{.Seat}}
dataCentre = {{.DataCentre}}
policy = {{.Policy}}

[listen]
caller = {{.CallerAddress}}
operator = {{.OperatorAddress}}
peer = {{.PeerAddress}}

[platform]
address = {{.Platform}}

[keys]
ticket = {{.TicketKey}}
peer = {{.PeerKey}}

[log]
level = info

[link]
crossDelay = {{.Delay}}
`))

// portAllocator hands out loopback addresses with consecutive ports.
type portAllocator struct{ lastPort int }

func (a *portAllocator) nextAddress() string {
	a.lastPort++
	return fmt.Sprintf("127.0.0.1:%d", a.lastPort)
}

const keyBytes = 24

// Write writes the files of a deployment and returns the number of its processes.
func Write(c Config) (int, error) {
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return 0, errors.Trace(err)
	}
	ports := &portAllocator{lastPort: c.BasePort}
	list := &instanceList{Version: 1}
	for _, dc := range c.Document.DataCentres {
		for _, seat := range dc.Seats {
			list.Instances = append(list.Instances, listEntry{Seat: seat, DataCentre: dc.Name, CallerAddress: ports.nextAddress(), OperatorAddress: ports.nextAddress(), PeerAddress: ports.nextAddress()})
		}
	}
	platformAddress := ports.nextAddress()
	list.Endpoints = placeEndpoints(c.Document, ports)
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := writeFile(c.Directory, "instances.json", data); err != nil {
		return 0, err
	}
	if err := writeFile(c.Directory, "configuration.json", c.Document.Encode()); err != nil {
		return 0, err
	}
	if err := writeFile(c.Directory, "platform", []byte(platformAddress+"\n")); err != nil {
		return 0, err
	}
	if err := writeSettings(c, list, platformAddress); err != nil {
		return 0, err
	}
	processes := listProcesses(c, list, platformAddress)
	return len(processes), writeFile(c.Directory, "processes", []byte(strings.Join(processes, "\n")+"\n"))
}

// placeEndpoints assigns the workers of each service to the data centres in turn.
func placeEndpoints(d *configuration.Document, ports *portAllocator) []route.Listing {
	var all []route.Listing
	for i, s := range d.Services {
		for j := range s.Workers {
			dc := d.DataCentres[(i+j)%len(d.DataCentres)]
			all = append(all, route.Listing{
				Name:       ident.Endpoint(fmt.Sprintf("%s-%d", s.Name, j+1)),
				Service:    s.Name,
				DataCentre: dc.Name,
				Address:    ports.nextAddress(),
			})
		}
	}
	return all
}

// writeSettings writes one settings file for each instance. All share the keys
// for tickets and for messages between instances.
func writeSettings(c Config, list *instanceList, platformAddress string) error {
	ticketKey, peerKey := generateKey(), generateKey()
	for _, i := range list.Instances {
		var b strings.Builder
		data := settingsData{listEntry: i, Platform: platformAddress, TicketKey: ticketKey, PeerKey: peerKey, Policy: c.RoutingPolicy, Delay: fmt.Sprintf("%gms", c.Document.CrossDataCentreDelayMillis)}
		if err := settingsTemplate.Execute(&b, data); err != nil {
			return errors.Trace(err)
		}
		if err := writeFile(c.Directory, string(i.Seat)+".ini", []byte(b.String())); err != nil {
			return err
		}
	}
	return nil
}

// generateKey returns a random key in hexadecimal.
func generateKey() string {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		panic("cannot read random bytes for a key: " + err.Error())
	}
	return hex.EncodeToString(b)
}

// listProcesses returns a line for each process: its name, program and
// arguments. The stand-ins come first.
func listProcesses(c Config, list *instanceList, platformAddress string) []string {
	path := func(name string) string { return filepath.Join(c.Directory, name) }
	lines := []string{fmt.Sprintf("platform anvilstandin platform --listen %s --configuration %s --instances %s", platformAddress, path("configuration.json"), path("instances.json"))}
	for _, s := range c.Document.Services {
		lines = append(lines, fmt.Sprintf("%s anvilstandin endpoints --configuration %s --instances %s --service %s --scale %g", s.Name, path("configuration.json"), path("instances.json"), s.Name, c.ServiceTimeFactor))
	}
	for _, i := range list.Instances {
		lines = append(lines, fmt.Sprintf("%s anvilcrossd --settings %s", i.Seat, path(string(i.Seat)+".ini")))
	}
	return lines
}

func writeFile(directory, name string, data []byte) error {
	return errors.Trace(os.WriteFile(filepath.Join(directory, name), data, 0o600))
}
