// Package soak runs real daemons before stand-ins of the users' services,
// disturbs them from outside by a seed, and checks the promises of the users'
// pages from what callers and workers see. It ends only processes that it
// started.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilload/fleet"
	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

const (
	// requestDeadline is how long callers wait.
	requestDeadline = 3 * time.Second
	// thinkTime is the longest pause of a caller between two requests.
	thinkTime = 60 * time.Millisecond
	// leaveShare is the share of streams whose caller leaves early.
	leaveShare = 0.15
	// probePeriod is how often each daemon is asked for the newest versions.
	probePeriod = 300 * time.Millisecond
	// probedVersions is how many of the newest versions are asked for.
	probedVersions = 2
	// settle is how long the workers get at the end to finish.
	settle = time.Second
)

// Config sets up a run.
type Config struct {
	Seed     uint64
	Daemons  int
	Clients  int
	Duration time.Duration
	// Binary is the daemon's program, and Directory gets settings and logs.
	Binary    string
	Directory string
}

// Report is what a run brought.
type Report struct {
	Requests, WholeAnswers int
	EventCounts            map[string]int
	// Violations are broken promises by the name of their check.
	Violations map[string][]string
	Plan       []string
}

// runner is a run at work.
type runner struct {
	config  Config
	site    *site.Site
	fleet   *fleet.Fleet
	proxies map[string]*proxy
	began   time.Time

	mutex   sync.Mutex
	history history
	// starts counts the processes of each daemon, and busy marks those that a
	// signal concerns.
	starts  []int
	busy    []bool
	leaving map[string]bool
	version int
	// published tells when each version was.
	published []time.Time
}

// Run plays one run and returns its report.
func Run(c Config) (*Report, error) {
	r := &runner{config: c, proxies: map[string]*proxy{}, starts: make([]int, c.Daemons), busy: make([]bool, c.Daemons), leaving: map[string]bool{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, errors.Trace(err)
	}
	plan := newPlan(c)
	r.began = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work, events sync.WaitGroup
	for n := range c.Clients {
		work.Go(func() { r.call(ctx, n) })
	}
	for n := range c.Daemons {
		work.Go(func() { r.probe(ctx, n) })
	}
	for _, e := range plan {
		events.Go(func() {
			time.Sleep(time.Until(r.began.Add(e.at)))
			r.disturb(e)
		})
	}
	events.Wait()
	// A planned stop can take longer than the plan: the calm follows the last one.
	quiet := time.Now()
	time.Sleep(max(time.Until(r.began.Add(c.Duration)), calmEnd))
	cancel()
	work.Wait()
	time.Sleep(settle)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.began, r.history.ended, r.history.quiet = r.began, time.Now(), quiet
	r.history.records, r.history.problems = r.site.Recorder.Records(), r.site.Recorder.Problems()
	return r.report(plan), nil
}

func (r *runner) start() error {
	front := func(name, address string) (string, error) {
		p, err := newProxy(address)
		if err != nil {
			return "", errors.Trace(err)
		}
		r.proxies[name] = p
		return p.address(), nil
	}
	s, err := site.Start(site.Config{AdvertisedAddress: front})
	if err != nil {
		return errors.Trace(err)
	}
	r.site = s
	r.publish()
	r.fleet, err = fleet.Start(fleet.Config{
		Binary: r.config.Binary, Directory: r.config.Directory, Count: r.config.Daemons, Site: s,
		StoreAddress:    func(daemon string) (string, error) { return front("store/"+daemon, s.StoreAddress()) },
		AnnounceAddress: func(daemon, address string) (string, error) { return front("peer/"+daemon, address) },
	})
	return errors.Trace(err)
}

func (r *runner) close() {
	if r.fleet != nil {
		r.fleet.Stop()
	}
	for _, p := range r.proxies {
		p.close()
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}

func (r *runner) report(plan []event) *Report {
	report := &Report{Requests: len(r.history.sent), EventCounts: map[string]int{}, Violations: map[string][]string{}}
	for _, s := range r.history.sent {
		if client.FindProblem(s.request, s.reply) == "" {
			report.WholeAnswers++
		}
	}
	for _, e := range plan {
		report.EventCounts[string(e.kind)]++
		report.Plan = append(report.Plan, e.String())
	}
	for _, c := range checks {
		if found := c.find(&r.history); len(found) > 0 {
			report.Violations[c.name] = found
		}
	}
	return report
}

// call plays one caller, which keeps its connection to a daemon.
func (r *runner) call(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(n)+1))
	connections := &http.Client{Timeout: 2 * requestDeadline, Transport: &http.Transport{}}
	defer connections.CloseIdleConnections()
	routes := []string{"order", "order", "order", "lookup", "lookup", "draft", "verse", "verse"}
	daemon := n % r.config.Daemons
	for ctx.Err() == nil {
		request := client.NewRequest(routes[random.IntN(len(routes))])
		request.Timeout = requestDeadline
		s := sent{request: request, daemon: daemon, at: time.Now()}
		leave := request.EventCount > 0 && random.Float64() < leaveShare
		if leave {
			left, stay := context.WithTimeout(context.Background(), time.Duration(random.IntN(250))*time.Millisecond)
			s.reply = client.Send(left, connections, r.fleet.Daemons[daemon].CallerAddress, request)
			if left.Err() != nil {
				s.left = time.Now()
			}
			stay()
		} else {
			s.reply = client.Send(context.Background(), connections, r.fleet.Daemons[daemon].CallerAddress, request)
		}
		r.mutex.Lock()
		r.history.sent = append(r.history.sent, s)
		r.mutex.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(thinkTime))))
	}
}

// probe asks a daemon for the routes that the newest versions added.
func (r *runner) probe(ctx context.Context, daemon int) {
	connections := &http.Client{Timeout: requestDeadline}
	defer connections.CloseIdleConnections()
	for ctx.Err() == nil {
		r.mutex.Lock()
		newest, incarnation, published := r.version, r.starts[daemon], slices.Clone(r.published)
		r.mutex.Unlock()
		for version := max(newest-probedVersions+1, 1); version <= newest; version++ {
			request := client.NewRequest(addedRoute(version))
			request.Timeout = requestDeadline
			p := probe{daemon: daemon, incarnation: incarnation, version: version, published: published[version-1], at: time.Now()}
			p.status = client.Send(context.Background(), connections, r.fleet.Daemons[daemon].CallerAddress, request).Status
			r.mutex.Lock()
			if r.starts[daemon] == incarnation {
				r.history.probes = append(r.history.probes, p)
			}
			r.mutex.Unlock()
		}
		time.Sleep(probePeriod)
	}
}

func addedRoute(version int) string { return fmt.Sprintf("added-%d", version) }

// publish publishes the next version of the configuration: it has one more
// route than the one before.
func (r *runner) publish() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version++
	r.site.PublishConfiguration(10*r.version, func(c map[string]any) {
		routes := c["routes"].([]any)
		for version := 1; version <= r.version; version++ {
			added := map[string]any{}
			for name, value := range routes[1].(map[string]any) {
				added[name] = value
			}
			added["name"], added["prefix"] = addedRoute(version), "/"+addedRoute(version)+"/"
			routes = append(routes, added)
		}
		c["routes"] = routes
	})
	r.published = append(r.published, time.Now())
}

// disturb carries an event out and notes whom it concerned.
func (r *runner) disturb(e event) {
	daemon := e.target % r.config.Daemons
	s := span{from: time.Now(), daemon: daemon}
	switch e.kind {
	case kill, stop, pause, hangUp:
		if !r.signal(e, daemon) {
			return
		}
	case storeDown:
		s.daemon = everyDaemon
		r.site.MetadataStore.SetDown(true)
		time.Sleep(e.length)
		r.site.MetadataStore.SetDown(false)
	case storeForgets:
		r.site.MetadataStore.DropHistory()
		return
	case storeLink:
		r.link("store/"+r.fleet.Daemons[daemon].Name, e)
	case peerLink:
		r.link("peer/"+r.fleet.Daemons[daemon].Name, e)
	case configuration:
		r.publish()
		return
	default:
		r.disturbWorker(e)
		return
	}
	s.to = time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.spans = append(r.history.spans, s)
}

func (r *runner) link(name string, e event) {
	r.proxies[name].set(e.link)
	time.Sleep(e.length)
	r.proxies[name].set(linkClear)
}

// signal sends a signal to a daemon's process and starts it again if it ends.
// It reports whether there was a process to disturb.
func (r *runner) signal(e event, daemon int) bool {
	d := r.fleet.Daemons[daemon]
	r.mutex.Lock()
	if r.busy[daemon] {
		r.mutex.Unlock()
		return false
	}
	r.busy[daemon] = true
	r.mutex.Unlock()
	var err error
	switch e.kind {
	case hangUp:
		err = d.Signal(syscall.SIGHUP)
	case pause:
		err = d.Signal(syscall.SIGSTOP)
		time.Sleep(e.length)
		err = cmp.Or(err, d.Signal(syscall.SIGCONT))
	case kill:
		err = d.Kill()
		time.Sleep(e.length)
	case stop:
		if err = d.Signal(syscall.SIGTERM); err == nil {
			err = d.WaitExit()
		}
	}
	if e.kind == kill || e.kind == stop {
		r.mutex.Lock()
		r.starts[daemon]++
		r.mutex.Unlock()
		err = cmp.Or(err, d.Launch())
		err = cmp.Or(err, d.WaitReady())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.busy[daemon] = false
	if err != nil {
		r.history.problems = append(r.history.problems, fmt.Sprintf("%s at %s: %v", e.kind, d.Name, err))
	}
	return true
}

// disturbWorker carries out an event that concerns a worker.
func (r *runner) disturbWorker(e event) {
	services := map[kind][]string{
		workerLink:   {"orders", "registry", "planning", "models"},
		workerBroken: {"orders", "registry", "planning"},
		workerFull:   {"orders", "models"},
		streamsCut:   {"models"},
		drain:        {"orders", "models"},
	}[e.kind]
	name := fmt.Sprintf("%s-%d", services[e.target%len(services)], e.target/len(services)%site.WorkersPerService)
	if e.kind == drain {
		r.drain(name, e.length)
		return
	}
	from := time.Now()
	faults := map[kind]worker.Faults{workerBroken: {Disconnects: true}, workerFull: {Full: true}, streamsCut: {CutAfterEvents: 5}}
	if e.kind == workerLink {
		r.link(name, e)
	} else {
		r.site.SetFaults(name, faults[e.kind])
		time.Sleep(e.length)
		r.site.SetFaults(name, worker.Faults{})
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.spans = append(r.history.spans, span{from: from, to: time.Now(), daemon: noDaemon, worker: name})
}

// drain lets a worker leave, one of a service at a time, and come back later.
func (r *runner) drain(name string, length time.Duration) {
	service := name[:len(name)-2]
	r.mutex.Lock()
	if r.leaving[service] {
		r.mutex.Unlock()
		return
	}
	r.leaving[service] = true
	r.site.Drain(name)
	d := drained{worker: name, from: time.Now()}
	r.mutex.Unlock()
	time.Sleep(length + drainBound)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d.to = time.Now()
	r.site.Restore(name)
	r.leaving[service] = false
	r.history.drained = append(r.history.drained, d)
}

// Write prints a report.
func (r *Report) Write(out io.Writer, c Config) {
	_, _ = fmt.Fprintf(out, "seed=%d daemons=%d length=%v requests=%d whole=%d events=%v violations=%d\n", c.Seed, c.Daemons, c.Duration, r.Requests, r.WholeAnswers, r.EventCounts, len(r.Violations))
	for name, found := range r.Violations {
		for _, f := range found[:min(len(found), 5)] {
			_, _ = fmt.Fprintf(out, "violation %s: %s\n", name, f)
		}
		_, _ = fmt.Fprintf(out, "violation %s: %d in all\n", name, len(found))
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, e := range r.Plan {
		_, _ = fmt.Fprintln(out, "event", e)
	}
	_, _ = fmt.Fprintf(out, "logs in %s\n", c.Directory)
}
