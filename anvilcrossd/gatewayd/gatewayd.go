// Package gatewayd runs the subcommand gateway of anvilcrossd: an entry instance
// on a users' platform. It builds the gateway and its adapters from the settings,
// serves until a signal arrives, and shuts down gracefully.
package gatewayd

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/callermemory"
	"anvilcross/anvilcrossd/descriptors"
	"anvilcross/anvilcrossd/entry"
	"anvilcross/anvilcrossd/eventlog"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/healthquery"
	"anvilcross/anvilcrossd/link"
	"anvilcross/anvilcrossd/metadata"
	"anvilcross/anvilcrossd/owner"
	"anvilcross/anvilcrossd/peer"
	"anvilcross/anvilcrossd/promptlist"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/anvilcrossd/settings"
	"anvilcross/anvilcrossd/signals"
	"anvilcross/anvilcrossd/socket"
	"anvilcross/anvilcrossd/stagecall"
	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/survey"
	"anvilcross/kernel/timer"
	"anvilcross/platform"
)

const (
	// peerTimeout limits one POST to another instance, and the dial to the
	// platform's metadata store. Links take a few milliseconds, and the pieces
	// at an unresponsive batcher have to be resubmitted soon.
	peerTimeout = 600 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to another instance is
	// kept.
	peerIdleTimeout = 5 * time.Second
	// maxConnectionsPerPeer limits the connections to one instance.
	maxConnectionsPerPeer = 4
	// drainDelay is how long an instance accepts new connections after its
	// shutdown has begun. Two readiness checks, a second apart, have to fail
	// before the load balancer stops sending callers.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the platform's limit on a shutdown, which
	// the setting stopLimit gives, the shutdown ends at the latest.
	shutdownMargin = 700 * time.Millisecond
	// answerMargin is the part of shutdownMargin, before it, in which the answers of
	// unfinished requests are written.
	answerMargin = 200 * time.Millisecond
	// maxReplyMemoryBytes is the memory for what endpoints reply: a fifth of that of the
	// smallest instances.
	maxReplyMemoryBytes = 32 << 20
	// settingsPollPeriod is the interval at which the settings file is read.
	settingsPollPeriod = 2 * time.Second
	// memoryLimitShare is the share of the allowed memory that is set as the Go
	// runtime's memory limit; the garbage collector runs more often near it.
	memoryLimitShare = 0.6
	// headerTimeout limits the time to read a request header. net/http cannot
	// change it while the server runs; the users' configurations set the same
	// value.
	headerTimeout = 3 * time.Second
	// initialMaxHeaderBytes is the limit on a request header until a
	// configuration is known.
	initialMaxHeaderBytes = 16 << 10
	// maxHeaderBytes is net/http's limit; a configuration cannot allow more.
	maxHeaderBytes = 1 << 20
)

// Config sets up a daemon.
type Config struct {
	Settings *settings.Gateway
	// SettingsPath is the settings file; it is read again when it changes.
	SettingsPath string
	// Overrides are section.key=value pairs that take precedence over the file.
	Overrides []string
	// DialEndpoint opens the connections to endpoints; nil stands for TCP to their
	// addresses.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
}

type daemon struct {
	config      Config
	settings    *settings.Gateway
	log         *eventlog.Log
	owner       *owner.Owner[gateway.Gateway]
	entry       *entry.Server
	mesh        *peer.Mesh
	stageClient *stagecall.Client
	httpClient  *h1.Client
	// transientCount is the number of endpoints to which no connection is kept idle, as last
	// logged.
	transientCount int
	descriptors    *descriptors.Budget
	follower       *metadata.Follower
	metrics        *gatewayMetrics
	// limits are those of the configuration in force.
	limits       atomic.Pointer[published.Limits]
	shuttingDown atomic.Bool
	callers      *callerConnections
	// callerMemory is the memory for what callers send, and peerMemory that for the messages
	// of other instances.
	callerMemory, peerMemory *callermemory.Account
	// callersWaiting bounds the connections of callers without a whole request, and
	// peersWaiting those of other instances.
	callersWaiting, peersWaiting *callermemory.Connections
	refusals                     *refusalLog
}

// Run serves until a signal ends it or a listener fails.
func Run(c Config) error {
	d, err := newDaemon(c)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.run())
}

func newDaemon(c Config) (*daemon, error) {
	s := c.Settings
	d := &daemon{config: c, settings: s, callers: newCallerConnections()}
	d.limits.Store(&published.Limits{MaxHeaderBytes: initialMaxHeaderBytes, HeaderTimeout: headerTimeout})
	d.log = eventlog.NewLog(eventlog.Config{Writer: os.Stdout, Fields: []any{"seat", s.Seat, "dataCentre", s.DataCentre}})
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMegabytes) * (1 << 20)))
	d.newCallerLimits()
	d.metrics = newGatewayMetrics(metricsConfig{CollectGauges: d.collectGauges})
	var err error
	d.descriptors, err = descriptors.NewBudget(descriptors.Config{ReadProcessLimit: descriptors.ReadProcessLimit})
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.httpClient = h1.NewClient(h1.Config{DialContext: c.DialEndpoint, Descriptors: d.descriptors})
	d.mesh = peer.NewMesh(peer.Config{
		DataCentre:     s.DataCentre,
		LocalTransport: link.NewTransport(link.Config{IdleTimeout: peerIdleTimeout, MaxConnectionsPerHost: maxConnectionsPerPeer}),
		HandleMessage:  func(e message.Envelope) { d.applyUpdate(func(g *gateway.Gateway) { g.HandleMessage(e) }) },
		BuildReply:     d.answerPing,
		ReadBody:       d.readPeerBody,
		OnSendFailure: func(to ident.Instance, reason string) {
			d.withGateway(func(g *gateway.Gateway) { g.HandlePeerFailure(to, reason) })
		},
		PostTimeout: peerTimeout,
	})
	memory := replymemory.NewPool(replymemory.Config{LimitBytes: maxReplyMemoryBytes})
	d.stageClient = stagecall.NewClient(stagecall.Config{
		HTTPClient: d.httpClient,
		Memory:     memory,
		OnReply: func(id batching.CallID, r batching.Reply) {
			d.withGateway(func(g *gateway.Gateway) { g.Batcher().HandleReply(id, r) })
		},
		OnFailed: func(id batching.CallID, f batching.CallFailure, detail string) {
			d.withGateway(func(g *gateway.Gateway) { g.Batcher().HandleCallFailure(id, f, detail) })
		},
		OnFreed: func(handles []message.ResultHandle) {
			d.withGateway(func(g *gateway.Gateway) { g.Batcher().HandleFreed(handles) })
		},
		OnInspected: func(e ident.Endpoint, freeBytes int) {
			d.withGateway(func(g *gateway.Gateway) { g.Batcher().HandleInspection(e, freeBytes) })
		},
		OnNotice: d.handleNoticeAt,
		LogEvent: d.log.WriteEvent,
	})
	prompts := promptlist.NewClient(promptlist.Config{
		HTTPClient: d.httpClient,
		Memory:     memory,
		OnListed: func(e ident.Endpoint, list *origin.PromptList) {
			d.withGateway(func(g *gateway.Gateway) { g.HandlePrompts(e, list) })
		},
		OnNotice: d.handleNoticeAt,
		LogEvent: d.log.WriteEvent,
	})
	health := healthquery.NewClient(healthquery.Config{
		HTTPClient: d.httpClient,
		OnNotice: func(p ident.EndpointProcess, n endpoints.Notice, sentAgo time.Duration) {
			d.withGateway(func(g *gateway.Gateway) { g.HandleNotice(p, n, sentAgo) })
		},
		LogEvent: d.log.WriteEvent,
	})
	d.entry = entry.NewServer(entry.Config{
		WithGateway:   d.withGateway,
		HTTPClient:    d.httpClient,
		Memory:        memory,
		CallerMemory:  d.callerMemory,
		HandleWhole:   d.handleWhole,
		OnRefused:     d.refusals.add,
		Limits:        func() published.Limits { return *d.limits.Load() },
		ShuttingDown:  d.shuttingDown.Load,
		RecordRequest: d.metrics.recordRequest,
		LogEvent:      d.log.WriteEvent,
	})
	timers := timer.NewScheduler(timer.Config{Start: time.Now()})
	d.owner = owner.NewOwner(owner.Config[gateway.Gateway]{Timers: timers, Kernel: gateway.NewGateway(gateway.Config{
		Self: membership.Member{
			Name:        s.Seat,
			Address:     s.AnnounceAddress,
			DataCentre:  s.DataCentre,
			Incarnation: ident.Incarnation(rand.Uint64() >> 12),
			Capacity:    s.Capacity(),

			AcceptsForwards: true,
		},
		Seeds:        s.Seeds,
		Retry:        gateway.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Regions:      s.Regions,
		Admission:    gateway.AdmissionPolicy(s.AdmissionPolicy),
		Placement:    s.Placement,
		HistorySpan:  s.PlatformHistory,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Timers:       timers,
		DecodeRecord: platform.DecodeRecord,
		StopLimit:    max(s.ShutdownTimeout-shutdownMargin-answerMargin, time.Millisecond),
		Output: gateway.Output{
			NextStep:        d.entry.HandleStep,
			CancelAttempt:   d.entry.CancelAttempt,
			SendToPeer:      func(to membership.PeerAddress, m message.Envelope) { d.mesh.SendToAddress(to.Address, m) },
			LogEvent:        d.log.WriteEvent,
			RecordEstimate:  d.metrics.recordEstimate,
			StartCall:       d.stageClient.StartCall,
			FreeResults:     d.stageClient.FreeResults,
			InspectEndpoint: d.stageClient.InspectEndpoint,
			CheckEndpoint:   d.checkEndpoint,
			ListPrompts:     prompts.List,
			ReadHistory:     d.readHistory,
			QueryHealth:     health.Query,
		},
	})})
	d.follower = d.newFollower()
	return d, nil
}

// historyTimeout limits the reading of the platform's history. Its result is of use as long as a
// question for the version of a stream waits.
const historyTimeout = survey.Timeout - 20*time.Millisecond

func (d *daemon) store() platform.Store {
	return platform.Store{Address: d.settings.PlatformAddress, RoundTrip: metadata.NewTransport(peerTimeout).RoundTrip}
}

// readHistory reads the platform's history for the gateway. It does not block.
func (d *daemon) readHistory(upTo replica.Revision) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
		defer cancel()
		changes, err := metadata.ReadHistory(ctx, d.store(), upTo)
		if err != nil {
			d.log.WriteEvent("historyNotRead", "upTo", upTo, "reason", err)
		}
		d.withGateway(func(g *gateway.Gateway) { g.HandleHistory(changes, err == nil) })
	}()
}

// newFollower returns the follower that passes the platform's records to the
// gateway.
func (d *daemon) newFollower() *metadata.Follower {
	return metadata.NewFollower(metadata.Config{
		Store: d.store(),
		OnFullList: func(r []replica.Record, asOf replica.Revision) {
			d.applyUpdate(func(g *gateway.Gateway) { g.HandleFullList(r, asOf) })
		},
		OnChanges: func(r []replica.Record, asOf replica.Revision) {
			d.applyUpdate(func(g *gateway.Gateway) { g.HandleChanges(r, asOf) })
		},
		OnUnavailable: func(reason error) {
			d.log.WriteEvent("platformLost", "reason", reason)
			d.withGateway(func(g *gateway.Gateway) { g.HandlePlatformUnavailable() })
		},
		OnAvailable: func() {
			d.log.WriteEvent("platformBack")
			d.withGateway(func(g *gateway.Gateway) { g.HandlePlatformAvailable() })
		},
		IsReader: func() (isReader bool) {
			d.withGateway(func(g *gateway.Gateway) { isReader = g.ReadsPlatform() })
			return isReader
		},
		AsOf: func() (asOf replica.Revision) {
			d.withGateway(func(g *gateway.Gateway) { asOf = g.AsOf() })
			return asOf
		},
	})
}

// checkEndpoint connects to an endpoint and tells the gateway the result. It does not block.
func (d *daemon) checkEndpoint(name ident.Endpoint, address string) {
	go func() {
		err := d.httpClient.Connect(context.Background(), address)
		result := paths.Accepted
		switch {
		case h1.ConnectionRefused(err):
			result = paths.Refused
		case err != nil:
			result = paths.Silent
		}
		d.withGateway(func(g *gateway.Gateway) { g.HandleEndpointChecked(name, result) })
	}()
}

// handleNoticeAt tells the gateway what the endpoint at an address says of itself.
func (d *daemon) handleNoticeAt(address string, n endpoints.Notice, sentAgo time.Duration) {
	d.withGateway(func(g *gateway.Gateway) { g.HandleNoticeAt(address, n, sentAgo) })
}

func (d *daemon) withGateway(f func(*gateway.Gateway)) { d.owner.WithKernel(f) }

// answerPing returns the reply to a batch of messages from another instance:
// the answer to its first ping, or nothing if it has none.
func (d *daemon) answerPing(batch []message.Envelope) []message.Envelope {
	pingIndex := slices.IndexFunc(batch, func(e message.Envelope) bool { return e.Ping != nil })
	if pingIndex < 0 {
		return nil
	}
	var pong message.Envelope
	d.withGateway(func(g *gateway.Gateway) { pong = g.AnswerPing(*batch[pingIndex].Ping) })
	return []message.Envelope{pong}
}

// applyUpdate calls a function that may bring records to the gateway, and then
// applies the limits of the configuration in force.
func (d *daemon) applyUpdate(f func(*gateway.Gateway)) {
	d.withGateway(func(g *gateway.Gateway) {
		f(g)
		if c := g.Catalog(); c != nil {
			d.limits.Store(&c.Limits)
		}
	})
}

func (d *daemon) run() error {
	callerServer := &http.Server{
		Handler:           markHandled(d.entry),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.trackCaller,
		ConnContext:       withCaller,
		ErrorLog:          newErrorLog(d.log),
	}
	peerServer := &http.Server{Handler: d.peerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * peerIdleTimeout, MaxHeaderBytes: maxPeerHeaderBytes, ConnState: d.trackOther(d.peersWaiting), ConnContext: entry.WithConnection, ErrorLog: newErrorLog(d.log)}
	readyServer := d.newOperatorsServer(http.HandlerFunc(d.serveReady))
	metricsServer := d.newOperatorsServer(d.metrics.handler())
	serveErrors := make(chan error, 4)
	var listener *callerListener
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{readyServer, d.settings.ReadyListen}, {peerServer, d.settings.PeerListen}, {metricsServer, d.settings.MetricsListen}, {callerServer, d.settings.CallerListen}} {
		tcp, err := net.Listen("tcp4", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		if l.server == callerServer {
			if err := socket.LimitReceiveBuffers(tcp.(*net.TCPListener), d.receiveBufferBytes()); err != nil {
				d.log.WriteEvent("receiveBuffersUnlimited", "reason", err)
			}
			listener = newCallerListener(tcp.(*net.TCPListener), d.newHeadMemory)
			tcp = listener
		}
		go func() { serveErrors <- l.server.Serve(tcp) }()
	}
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.owner.Run(stop)
	go d.follower.Run(ctx)
	go d.watchSettings(stop)
	go d.sweepIdleConnections(stop)
	d.log.WriteEvent("started", "callers", d.settings.CallerListen, "seeds", len(d.settings.Seeds), "regions", len(d.settings.Regions), "platformHistory", d.settings.PlatformHistory)
	for {
		select {
		case err := <-serveErrors:
			return errors.Annotate(err, "listener stopped")
		case s := <-signals.Incoming:
			if s == syscall.SIGHUP {
				d.reload("signal")
				continue
			}
			d.shutDown(callerServer, listener)
			close(stop)
			d.log.Close()
			return nil
		}
	}
}

// serveReady answers the readiness checks of the platform's load balancer.
func (d *daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	d.withGateway(func(g *gateway.Gateway) { ready = g.Ready() })
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// shutDown performs a graceful shutdown. The instance reports at once that it
// is not ready, accepts connections for drainDelay or until another signal, and
// finishes the requests in flight; each connection is closed after its answer.
// The gateway refuses what cannot end in time. What is still unanswered answerMargin
// before the end is answered then, and streams in flight at the end are abandoned.
func (d *daemon) shutDown(callerServer *http.Server, listener *callerListener) {
	startedAt := time.Now()
	d.shuttingDown.Store(true)
	d.withGateway(func(g *gateway.Gateway) { g.BeginShutdown() })
	d.log.WriteEvent("stopRequested", "limit", d.settings.ShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout-shutdownMargin)
	defer cancel()
	select {
	case <-time.After(min(drainDelay, d.settings.ShutdownTimeout/2)):
	case <-signals.Incoming:
	}
	endTimer := time.AfterFunc(time.Until(startedAt.Add(d.settings.ShutdownTimeout-shutdownMargin-answerMargin)), func() {
		d.withGateway(func(g *gateway.Gateway) { g.EndUnfinished() })
	})
	defer endTimer.Stop()
	d.closeCallersIdle(listener)
	err := callerServer.Shutdown(ctx)
	if err == nil {
		err = d.finishForwarded(ctx)
	}
	if err != nil {
		inFlight := 0
		d.withGateway(func(g *gateway.Gateway) { inFlight = g.InFlight() })
		d.log.WriteEvent("stopLimitReached", "inFlight", inFlight, "after", time.Since(startedAt))
		return
	}
	d.log.WriteEvent("stopComplete", "after", time.Since(startedAt))
}

// watchSettings reloads the settings when their file changes, so that no signal
// is needed.
func (d *daemon) watchSettings(stop <-chan struct{}) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	previous, _ := os.ReadFile(d.config.SettingsPath)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		current, err := os.ReadFile(d.config.SettingsPath)
		if err != nil || bytes.Equal(current, previous) {
			continue
		}
		previous = current
		d.reload("changed file")
	}
}

// reload applies the settings that may change while the daemon runs: the seeds
// and the retry budget. If the file is not valid, the current ones stay in
// force.
func (d *daemon) reload(cause string) {
	text, err := os.ReadFile(d.config.SettingsPath)
	if err != nil {
		d.log.WriteEvent("reloadFailed", "cause", cause, "reason", err)
		return
	}
	s, err := settings.ParseGateway(text, d.config.Overrides)
	if err != nil {
		d.log.WriteEvent("reloadFailed", "cause", cause, "reason", err)
		return
	}
	d.withGateway(func(g *gateway.Gateway) {
		g.Reload(s.Seeds, gateway.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}, s.Placement)
		g.SetRegions(s.Regions)
	})
	d.log.WriteEvent("reloaded", "cause", cause, "seeds", len(s.Seeds))
}
