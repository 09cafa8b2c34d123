// Package soak runs real daemons in front of simulated services, injects faults
// and configuration changes that are drawn from a seed, and checks the
// guarantees of the users' specification by what callers and workers observe.
// It signals only processes that it started.
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
	// requestDeadline is the deadline that callers send with a request.
	requestDeadline = 3 * time.Second
	// maxThinkTime limits a caller's random pause between two requests.
	maxThinkTime = 60 * time.Millisecond
	// earlyLeaveShare is the share of stream requests whose caller disconnects
	// early.
	earlyLeaveShare = 0.15
	// probeInterval is the pause between two probes of a daemon's
	// configuration.
	probeInterval = 300 * time.Millisecond
	// probedVersions is the number of the newest versions that a probe tests.
	probedVersions = 2
	// workerFinishTime is the wait at the end of a run for workers to finish.
	workerFinishTime = time.Second
)

// Config sets up a run.
type Config struct {
	// Seed determines the events and the callers' random choices.
	Seed uint64
	// Daemons is the number of daemons, Callers that of simulated callers.
	Daemons  int
	Callers  int
	Duration time.Duration
	// Binary is the path of the daemon's executable. Directory receives the
	// settings files and logs.
	Binary    string
	Directory string
}

// Report is the result of a run.
type Report struct {
	Requests, WholeAnswers int
	// EventCounts is the number of planned events by kind.
	EventCounts map[string]int
	// Violations describes violated guarantees by the name of the check.
	Violations map[string][]string
	// Plan describes the planned events in order.
	Plan []string
}

// runner is the state of a run in progress.
type runner struct {
	config Config
	site   *site.Site
	fleet  *fleet.Fleet
	// proxies are the proxies by the name of their link: that of a worker,
	// store/NAME or peer/NAME with the name of a daemon.
	proxies   map[string]*proxy
	startedAt time.Time

	mutex   sync.Mutex
	history history
	// incarnations counts the restarts of each daemon, signalling marks daemons
	// that a signal event is acting on, and draining marks services that have a
	// draining worker.
	incarnations []int
	signalling   []bool
	draining     map[string]bool
	// limited marks the workers that name a rate limit, and restoring a store that is
	// being restored.
	limited   map[string]bool
	restoring bool
	faults    *faultTable
	// version is the number of the newest configuration.
	version int
	// publishedAt holds the time at which each version was published.
	publishedAt []time.Time
}

// Run executes one run and returns its report. It returns an error only if the
// run cannot be set up; violations are in the report.
func Run(c Config) (*Report, error) {
	r := &runner{config: c, proxies: map[string]*proxy{}, incarnations: make([]int, c.Daemons), signalling: make([]bool, c.Daemons), draining: map[string]bool{}, limited: map[string]bool{}}
	r.faults = newFaultTable(func(name string, f worker.Faults) { r.site.SetFaults(name, f) })
	defer r.close()
	if err := r.start(); err != nil {
		return nil, errors.Trace(err)
	}
	plan := newPlan(c)
	r.startedAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work, events sync.WaitGroup
	for n := range c.Callers {
		work.Go(func() { r.runCaller(ctx, n) })
	}
	for n := range c.Daemons {
		work.Go(func() { r.runProbes(ctx, n) })
	}
	for _, e := range plan {
		events.Go(func() {
			time.Sleep(time.Until(r.startedAt.Add(e.offset)))
			r.applyEvent(e)
		})
	}
	events.Wait()
	// A graceful shutdown can take longer than planned, so the calm period
	// starts after the last event.
	eventsEnd := time.Now()
	time.Sleep(max(time.Until(r.startedAt.Add(c.Duration)), calmPeriod))
	cancel()
	work.Wait()
	time.Sleep(workerFinishTime)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.startedAt, r.history.endedAt, r.history.eventsEnd = r.startedAt, time.Now(), eventsEnd
	r.history.workerRecords = r.site.Recorder.Records()
	r.history.problems = append(r.history.problems, r.site.Recorder.Problems()...)
	return r.buildReport(plan), nil
}

// start starts the site and the daemons, with a proxy on every link.
func (r *runner) start() error {
	startProxy := func(name, address string) (string, error) {
		p, err := newProxy(address)
		if err != nil {
			return "", errors.Trace(err)
		}
		r.proxies[name] = p
		return p.address(), nil
	}
	s, err := site.Start(site.Config{AdvertisedAddress: startProxy})
	if err != nil {
		return errors.Trace(err)
	}
	r.site = s
	r.publishConfiguration()
	r.fleet, err = fleet.Start(fleet.Config{
		Binary: r.config.Binary, Directory: r.config.Directory, Count: r.config.Daemons, Site: s,
		StoreAddress:    func(daemon string) (string, error) { return startProxy("store/"+daemon, s.StoreAddress()) },
		AnnounceAddress: func(daemon, address string) (string, error) { return startProxy("peer/"+daemon, address) },
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

func (r *runner) buildReport(plan []event) *Report {
	report := &Report{Requests: len(r.history.exchanges), EventCounts: map[string]int{}, Violations: map[string][]string{}}
	for _, s := range r.history.exchanges {
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

// runCaller sends the requests of caller n, which keeps its connection to one
// daemon.
func (r *runner) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(n)+1))
	httpClient := &http.Client{Timeout: 2 * requestDeadline, Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	routes := []string{"order", "order", "order", "lookup", "lookup", "draft", "verse", "verse"}
	daemon := n % r.config.Daemons
	for ctx.Err() == nil {
		request := client.NewRequest(routes[random.IntN(len(routes))])
		request.Timeout = requestDeadline
		s := exchange{request: request, daemon: daemon, sentAt: time.Now()}
		leavesEarly := request.EventCount > 0 && random.Float64() < earlyLeaveShare
		if leavesEarly {
			callerCtx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(250))*time.Millisecond)
			s.reply = client.Send(callerCtx, httpClient, r.fleet.Daemons[daemon].CallerAddress, request)
			if callerCtx.Err() != nil {
				s.leftAt = time.Now()
			}
			cancel()
		} else {
			s.reply = client.Send(context.Background(), httpClient, r.fleet.Daemons[daemon].CallerAddress, request)
		}
		r.mutex.Lock()
		r.history.exchanges = append(r.history.exchanges, s)
		r.mutex.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// runProbes requests from a daemon the routes that the newest versions added.
// Results of a process that was replaced meanwhile are discarded.
func (r *runner) runProbes(ctx context.Context, daemon int) {
	httpClient := &http.Client{Timeout: requestDeadline}
	defer httpClient.CloseIdleConnections()
	for ctx.Err() == nil {
		r.mutex.Lock()
		newest, incarnation, publishedAt := r.version, r.incarnations[daemon], slices.Clone(r.publishedAt)
		r.mutex.Unlock()
		for version := max(newest-probedVersions+1, 1); version <= newest; version++ {
			request := client.NewRequest(addedRoute(version))
			request.Timeout = requestDeadline
			p := versionProbe{daemon: daemon, incarnation: incarnation, version: version, publishedAt: publishedAt[version-1], sentAt: time.Now()}
			p.status = client.Send(context.Background(), httpClient, r.fleet.Daemons[daemon].CallerAddress, request).Status
			r.mutex.Lock()
			if r.incarnations[daemon] == incarnation {
				r.history.probes = append(r.history.probes, p)
			}
			r.mutex.Unlock()
		}
		time.Sleep(probeInterval)
	}
}

func addedRoute(version int) string { return fmt.Sprintf("added-%d", version) }

// publishConfiguration publishes the next version of the configuration, which
// has one more route than the previous one.
func (r *runner) publishConfiguration() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version++
	r.writeConfiguration()
	r.publishedAt = append(r.publishedAt, time.Now())
}

// writeConfiguration writes the newest version of the configuration. The caller holds the
// mutex.
func (r *runner) writeConfiguration() {
	r.site.PublishConfiguration(10*r.version, func(c map[string]any) {
		routes := c["routes"].([]any)
		for version := 1; version <= r.version; version++ {
			route := map[string]any{}
			for name, value := range routes[1].(map[string]any) {
				route[name] = value
			}
			route["name"], route["prefix"] = addedRoute(version), "/"+addedRoute(version)+"/"
			routes = append(routes, route)
		}
		c["routes"] = routes
		orders := c["services"].([]any)[0].(map[string]any)
		orders["cold-start-s"], orders["cold-per-s"] = coldStart.Seconds(), workerColdRate
	})
}

// restoreStore takes the metadata store away and brings it back from a copy that is as old
// as the event is long. What was written since is written again.
func (r *runner) restoreStore(e event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.restoring {
		return
	}
	r.restoring = true
	store := r.site.MetadataStore
	copied := store.Copy()
	r.mutex.Unlock()
	time.Sleep(e.duration)
	store.SetDown(true)
	time.Sleep(storeRestoreTime)
	r.mutex.Lock()
	store.Restore(copied)
	store.SetDown(false)
	r.mutex.Unlock()
	time.Sleep(storeRestoreTime)
	r.mutex.Lock()
	r.writeConfiguration()
	r.site.RewriteEntries()
	r.restoring = false
}

// applyEvent applies an event, waits until it is over and records the span of its
// fault. A loss of the store's history and a new configuration impair nothing, so
// they have no span.
func (r *runner) applyEvent(e event) {
	daemon := e.target % r.config.Daemons
	s := faultSpan{from: time.Now(), daemon: daemon}
	switch e.kind {
	case eventKill, eventStop, eventPause, eventHangUp:
		if !r.signalDaemon(e, daemon) {
			return
		}
	case eventStoreDown:
		s.daemon = everyDaemon
		r.site.MetadataStore.SetDown(true)
		time.Sleep(e.duration)
		r.site.MetadataStore.SetDown(false)
	case eventStoreRestored:
		s.daemon = everyDaemon
		r.restoreStore(e)
	case eventWorkerLimited:
		r.limitWorker(fmt.Sprintf("%s-%d", []string{"orders", "models"}[e.target%2], e.target/2%site.WorkersPerService), e)
		return
	case eventWorkerCold:
		r.chillWorker(fmt.Sprintf("orders-%d", e.target%site.WorkersPerService), e)
		return
	case eventWorkerLeaves:
		r.leaveByWord(fmt.Sprintf("%s-%d", []string{"orders", "models"}[e.target%2], e.target/2%site.WorkersPerService), e.duration)
		return
	case eventStoreForgets:
		r.site.MetadataStore.DropHistory()
		return
	case eventStoreLink:
		r.impairLink("store/"+r.fleet.Daemons[daemon].Name, e)
	case eventPeerLink:
		r.impairLink("peer/"+r.fleet.Daemons[daemon].Name, e)
	case eventConfiguration:
		r.publishConfiguration()
		return
	default:
		r.applyWorkerEvent(e)
		return
	}
	s.to = time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.faultSpans = append(r.history.faultSpans, s)
}

// impairLink puts a link into the event's state for the event's duration.
func (r *runner) impairLink(name string, e event) {
	r.proxies[name].setState(e.link)
	time.Sleep(e.duration)
	r.proxies[name].setState(linkUp)
}

// signalDaemon sends a signal to a daemon's process and starts the daemon again
// if the process ends by it. It returns false if another signal event is acting
// on the daemon.
func (r *runner) signalDaemon(e event, daemon int) bool {
	d := r.fleet.Daemons[daemon]
	r.mutex.Lock()
	if r.signalling[daemon] {
		r.mutex.Unlock()
		return false
	}
	r.signalling[daemon] = true
	r.mutex.Unlock()
	var err error
	switch e.kind {
	case eventHangUp:
		err = d.Signal(syscall.SIGHUP)
	case eventPause:
		err = d.Signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		err = cmp.Or(err, d.Signal(syscall.SIGCONT))
	case eventKill:
		err = d.Kill()
		time.Sleep(e.duration)
	case eventStop:
		if err = d.Signal(syscall.SIGTERM); err == nil {
			err = d.WaitExit()
		}
	}
	if e.kind == eventKill || e.kind == eventStop {
		r.mutex.Lock()
		r.incarnations[daemon]++
		r.mutex.Unlock()
		err = cmp.Or(err, d.Launch())
		err = cmp.Or(err, d.WaitReady())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.signalling[daemon] = false
	if err != nil {
		r.history.problems = append(r.history.problems, fmt.Sprintf("%s at %s: %v", e.kind, d.Name, err))
	}
	return true
}

// Write prints a summary line, the first violations of each check and, if there
// are violations, the plan and the directory of the logs.
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
