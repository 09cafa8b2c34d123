// Package command is the command line of the stand-ins: processes that simulate
// the platform and the endpoints of a deployment for demos, tests and load runs.
package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"anvilcross/anvilstandin/endpoint"
	"anvilcross/anvilstandin/platform"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/route"
)

type arguments struct {
	Platform  platformCommand  `cmd:"" help:"Simulate the platform of a deployment: publish a configuration and an instance list."`
	Endpoints endpointsCommand `cmd:"" help:"Simulate all endpoints of one service."`
}

// Main runs the stand-in that the arguments name and returns the process's exit
// code.
func Main(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("anvilstandin"), kong.Description("Small stand-ins for the systems around anvilcross."))
	context, err := parser.Parse(args)
	if err == nil {
		err = context.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilstandin:", err)
		return 1
	}
	return 0
}

const readHeaderTimeout = 5 * time.Second

// platformCommand runs the simulated platform.
type platformCommand struct {
	Listen        string `required:"" help:"Address to listen on."`
	Configuration string `help:"Configuration to publish at the start." type:"existingfile"`
	Instances     string `help:"Instance list to publish at the start." type:"existingfile"`
}

// Run publishes the given files and serves until the process ends.
func (c *platformCommand) Run() error {
	s := platform.NewServer()
	for path, publish := range map[string]func([]byte) error{c.Configuration: s.PublishConfiguration, c.Instances: s.PublishInstanceList} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := publish(data); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	server := &http.Server{Addr: c.Listen, Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}

// endpointsCommand runs the simulated endpoints of one service.
type endpointsCommand struct {
	Configuration string  `required:"" help:"Configuration that describes the service." type:"existingfile"`
	Instances     string  `required:"" help:"Instance list with the endpoints' addresses." type:"existingfile"`
	Service       string  `required:"" help:"Service to simulate."`
	Scale         float64 `default:"1" help:"Factor on every service time."`
}

// Mean service times at scale 1: of a call to a pool member or a plain service,
// and of an engine for processing a prompt and for each token.
const (
	poolMillis    = 8
	serviceMillis = 12
	promptMillis  = 40
	tokenMillis   = 5
)

// instanceList is the part of the platform's instance list that is needed here.
type instanceList struct {
	Endpoints []route.Listing `json:"endpoints"`
}

// Run serves every listed endpoint of the service until one of them fails.
func (c *endpointsCommand) Run() error {
	document, list, err := c.readFiles()
	if err != nil {
		return err
	}
	definition := document.Service(ident.Service(c.Service))
	if definition == nil {
		return fmt.Errorf("service %q is not in the configuration", c.Service)
	}
	callMillis := map[string]float64{"pool": poolMillis, "service": serviceMillis, "engine": promptMillis}[definition.Kind]
	service := endpoint.NewService(endpoint.ServiceConfig{
		Name:        c.Service,
		Kind:        definition.Kind,
		Concurrency: definition.Concurrency,
		Deduplicate: definition.DuplicateCheck == configuration.Deduplicate,
		CallMillis:  callMillis * c.Scale,
		TokenMillis: tokenMillis * c.Scale,
	})
	serveErrors := make(chan error)
	for _, l := range list.Endpoints {
		if string(l.Service) != c.Service {
			continue
		}
		e := endpoint.NewEndpoint(service, string(l.Name), l.Address)
		go func() { serveErrors <- e.Serve() }()
	}
	return <-serveErrors
}

// readFiles reads the configuration and the instance list.
func (c *endpointsCommand) readFiles() (*configuration.Document, *instanceList, error) {
	data, err := os.ReadFile(c.Configuration)
	if err != nil {
		return nil, nil, err
	}
	document, err := configuration.Decode(data)
	if err != nil {
		return nil, nil, err
	}
	data, err = os.ReadFile(c.Instances)
	if err != nil {
		return nil, nil, err
	}
	list := &instanceList{}
	return document, list, json.Unmarshal(data, list)
}
