// Package command is the stand-ins' command line.
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
	Platform  platformCommand  `cmd:"" help:"Play the platform of a deployment: publish a configuration and an instance list."`
	Endpoints endpointsCommand `cmd:"" help:"Play all endpoints of one service."`
}

// Main runs the stand-in and returns its exit code.
func Main(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("anvilstandin"), kong.Description("Small stand-ins for the systems that anvilcross meets."))
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

type platformCommand struct {
	Listen        string `required:"" help:"Address to listen on."`
	Configuration string `help:"Configuration to publish at the start." type:"existingfile"`
	Instances     string `help:"Instance list to publish at the start." type:"existingfile"`
}

// Run serves until the process ends.
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

type endpointsCommand struct {
	Configuration string  `required:"" help:"Configuration that describes the service." type:"existingfile"`
	Instances     string  `required:"" help:"Instance list with the endpoints' addresses." type:"existingfile"`
	Service       string  `required:"" help:"Service to play."`
	Scale         float64 `default:"1" help:"Factor on every service time."`
}

// Service times of the stand-ins, in milliseconds.
const (
	poolMillis    = 8
	serviceMillis = 12
	promptMillis  = 40
	tokenMillis   = 5
)

type instanceList struct {
	Endpoints []route.Listing `json:"endpoints"`
}

// Run serves until the process ends.
func (c *endpointsCommand) Run() error {
	document, list, err := c.read()
	if err != nil {
		return err
	}
	described := document.Service(ident.Service(c.Service))
	if described == nil {
		return fmt.Errorf("service %q is not in the configuration", c.Service)
	}
	millis := map[string]float64{"pool": poolMillis, "service": serviceMillis, "engine": promptMillis}[described.Kind]
	service := endpoint.NewService(endpoint.ServiceConfig{
		Name:        c.Service,
		Kind:        described.Kind,
		Concurrency: described.Concurrency,
		Deduplicate: described.DuplicateCheck == configuration.Deduplicate,
		CallMillis:  millis * c.Scale,
		TokenMillis: tokenMillis * c.Scale,
	})
	ended := make(chan error)
	for _, l := range list.Endpoints {
		if string(l.Service) != c.Service {
			continue
		}
		e := endpoint.NewEndpoint(service, string(l.Name), l.Address)
		go func() { ended <- e.Serve() }()
	}
	return <-ended
}

func (c *endpointsCommand) read() (*configuration.Document, *instanceList, error) {
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
