package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilload/fleet"
	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
)

// siteDemo shows gateways at work before stand-ins of the users' services.
type siteDemo struct {
	Daemon    string `default:"bin/anvilcrossd" help:"The daemon's program." type:"existingfile"`
	Directory string `default:"run/site" help:"Where settings and logs go."`
	Count     int    `default:"3" help:"Daemons to run."`
	Requests  int    `default:"40" help:"Requests for each route."`
	Parallel  int    `default:"16" help:"Requests at once."`
}

// Help gives an example.
func (siteDemo) Help() string {
	return "Example: anvilload site --count 3 --requests 40"
}

// siteRow sums one route's answers up.
type siteRow struct {
	whole   int
	slowest time.Duration
	wrong   []string
}

// Run plays a site, sends requests through every route and checks them.
func (c *siteDemo) Run(out io.Writer) error {
	if err := os.MkdirAll(c.Directory, 0o750); err != nil {
		return errors.Trace(err)
	}
	s, err := site.Start(site.Config{})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = s.Close() }()
	f, err := fleet.Start(fleet.Config{Binary: c.Daemon, Directory: c.Directory, Count: c.Count, Site: s})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Stop()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ROUTE\tREQUESTS\tWHOLE\tSLOWEST MS")
	problems := 0
	for _, route := range []string{"order", "lookup", "draft", "verse"} {
		row := c.send(f, route)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\n", route, c.Requests, row.whole, float64(row.slowest)/float64(time.Millisecond))
		for _, wrong := range row.wrong {
			_, _ = fmt.Fprintf(table, "%s: %s\n", route, wrong)
		}
		problems += len(row.wrong)
	}
	for _, problem := range s.Recorder.Problems() {
		problems++
		_, _ = fmt.Fprintln(table, problem)
	}
	_, _ = fmt.Fprintf(table, "%d daemons, %d problems; logs in %s\n", c.Count, problems, c.Directory)
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if problems > 0 {
		return errors.Errorf("%d problems", problems)
	}
	return nil
}

// send sends all requests of a route, spread over the daemons.
func (c *siteDemo) send(f *fleet.Fleet, route string) siteRow {
	const timeout = 20 * time.Second
	connections := newClient(timeout)
	defer connections.CloseIdleConnections()
	var row siteRow
	var mutex sync.Mutex
	var wait sync.WaitGroup
	places := make(chan struct{}, c.Parallel)
	for n := range c.Requests {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			request := client.NewRequest(route)
			reply := client.Send(context.Background(), connections, f.Daemons[n%len(f.Daemons)].CallerAddress, request)
			wrong := client.FindProblem(request, reply)
			mutex.Lock()
			defer mutex.Unlock()
			row.slowest = max(row.slowest, reply.Elapsed)
			if wrong == "" && reply.Status == http.StatusOK {
				row.whole++
				return
			}
			row.wrong = append(row.wrong, request.ID+": "+wrong)
		})
	}
	wait.Wait()
	return row
}
