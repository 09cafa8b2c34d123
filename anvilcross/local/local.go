// Package local lays a whole deployment out on one machine: files and a list
// of processes, which a script starts. It starts nothing itself.
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

// Config says what to lay out.
type Config struct {
	Document  *configuration.Document
	Directory string
	// BasePort is the first of the ports to use.
	BasePort          int
	ServiceTimeFactor float64
	RoutingPolicy     string
}

type entry struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

type instanceList struct {
	Version   int64           `json:"version"`
	Instances []entry         `json:"instances"`
	Endpoints []route.Listing `json:"endpoints"`
}

type settingsData struct {
	entry
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

// ports hands out consecutive loopback addresses.
type ports struct{ next int }

func (p *ports) take() string {
	p.next++
	return fmt.Sprintf("127.0.0.1:%d", p.next)
}

const keyBytes = 24

// Write writes the files and returns the number of processes.
func Write(c Config) (int, error) {
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return 0, errors.Trace(err)
	}
	p := &ports{next: c.BasePort}
	list := &instanceList{Version: 1}
	for _, dc := range c.Document.DataCentres {
		for _, seat := range dc.Seats {
			list.Instances = append(list.Instances, entry{Seat: seat, DataCentre: dc.Name, CallerAddress: p.take(), OperatorAddress: p.take(), PeerAddress: p.take()})
		}
	}
	platform := p.take()
	list.Endpoints = endpoints(c.Document, p)
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := write(c.Directory, "instances.json", data); err != nil {
		return 0, err
	}
	if err := write(c.Directory, "configuration.json", c.Document.Encode()); err != nil {
		return 0, err
	}
	if err := write(c.Directory, "platform", []byte(platform+"\n")); err != nil {
		return 0, err
	}
	if err := writeSettings(c, list, platform); err != nil {
		return 0, err
	}
	processes := processList(c, list, platform)
	return len(processes), write(c.Directory, "processes", []byte(strings.Join(processes, "\n")+"\n"))
}

// endpoints spreads the workers of each service over the data centres.
func endpoints(d *configuration.Document, p *ports) []route.Listing {
	var all []route.Listing
	for i, s := range d.Services {
		for j := range s.Workers {
			dc := d.DataCentres[(i+j)%len(d.DataCentres)]
			all = append(all, route.Listing{
				Name:       ident.Endpoint(fmt.Sprintf("%s-%d", s.Name, j+1)),
				Service:    s.Name,
				DataCentre: dc.Name,
				Address:    p.take(),
			})
		}
	}
	return all
}

func writeSettings(c Config, list *instanceList, platform string) error {
	ticket, peer := newKey(), newKey()
	for _, i := range list.Instances {
		var b strings.Builder
		data := settingsData{entry: i, Platform: platform, TicketKey: ticket, PeerKey: peer, Policy: c.RoutingPolicy, Delay: fmt.Sprintf("%gms", c.Document.CrossDataCentreDelayMillis)}
		if err := settingsTemplate.Execute(&b, data); err != nil {
			return errors.Trace(err)
		}
		if err := write(c.Directory, string(i.Seat)+".ini", []byte(b.String())); err != nil {
			return err
		}
	}
	return nil
}

func newKey() string {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		panic("no randomness for a key: " + err.Error())
	}
	return hex.EncodeToString(b)
}

// processList names each process and its command line, stand-ins first.
func processList(c Config, list *instanceList, platform string) []string {
	at := func(name string) string { return filepath.Join(c.Directory, name) }
	lines := []string{fmt.Sprintf("platform anvilstandin platform --listen %s --configuration %s --instances %s", platform, at("configuration.json"), at("instances.json"))}
	for _, s := range c.Document.Services {
		lines = append(lines, fmt.Sprintf("%s anvilstandin endpoints --configuration %s --instances %s --service %s --scale %g", s.Name, at("configuration.json"), at("instances.json"), s.Name, c.ServiceTimeFactor))
	}
	for _, i := range list.Instances {
		lines = append(lines, fmt.Sprintf("%s anvilcrossd --settings %s", i.Seat, at(string(i.Seat)+".ini")))
	}
	return lines
}

func write(directory, name string, data []byte) error {
	return errors.Trace(os.WriteFile(filepath.Join(directory, name), data, 0o600))
}
