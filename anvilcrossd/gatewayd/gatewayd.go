// Package gatewayd is the daemon on a users' platform: it reads the settings,
// puts the gateway and its adapters together, serves until a signal, and
// stops without cutting a request off.
package gatewayd

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/entry"
	"anvilcross/anvilcrossd/eventlog"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/link"
	"anvilcross/anvilcrossd/metadata"
	"anvilcross/anvilcrossd/owner"
	"anvilcross/anvilcrossd/peer"
	"anvilcross/anvilcrossd/settings"
	"anvilcross/anvilcrossd/stagecall"
	"anvilcross/kernel/batching"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
	"anvilcross/platform"
)

const (
	// peerTimeout bounds a message to another instance: links take a few
	// milliseconds, and pieces of a silent batcher have to move on.
	peerTimeout = 600 * time.Millisecond
	// keepPeer is how long an unused connection between instances is kept.
	keepPeer = 5 * time.Second
	// maxPeerConnections bounds the connections to one instance.
	maxPeerConnections = 4
	// noticeTime is how long a stopping instance goes on accepting: two
	// questions for its readiness, a second apart, have to fail first.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is how long before the platform's limit a stop is complete.
	stopMargin = 700 * time.Millisecond
	// concludeMargin is how long before the platform's limit the requests are
	// answered that still wait for their turn.
	concludeMargin = 2 * time.Second
	// settingsPeriod is how often the settings file is looked at.
	settingsPeriod = 2 * time.Second
	// memoryShare is the part of the allowed memory at which the runtime
	// collects garbage harder.
	memoryShare = 0.7
	// headerTimeout bounds the reading of a header; the server cannot change it
	// while it runs. The users' configurations have the same value.
	headerTimeout = 3 * time.Second
	// headerBytes holds before a configuration is known.
	headerBytes = 16 << 10
	// maxHeaderBytes bounds what the limits of a configuration can allow.
	maxHeaderBytes = 1 << 20
	// sweepPeriod is how often idle connections of callers are looked over.
	sweepPeriod = time.Second
)

// Config sets up a daemon.
type Config struct {
	Settings *settings.Gateway
	// SettingsPath is the settings file; it is read again when it changes.
	SettingsPath string
	// Overrides replace what the file says.
	Overrides []string
}

type daemon struct {
	config   Config
	settings *settings.Gateway
	log      *eventlog.Log
	owner    *owner.Owner[gateway.Gateway]
	entry    *entry.Server
	mesh     *peer.Mesh
	stages   *stagecall.Client
	client   *h1.Client
	follower *metadata.Follower
	metrics  *metrics
	store    *http.Transport
	limits   atomic.Pointer[published.Limits]
	leaving  atomic.Bool
	idle     *idleConnections
}

// Run serves until a signal.
func Run(c Config) error {
	d, err := newDaemon(c)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.run())
}

func newDaemon(c Config) (*daemon, error) {
	s := c.Settings
	d := &daemon{config: c, settings: s, idle: newIdleConnections()}
	d.limits.Store(&published.Limits{MaxHeaderBytes: headerBytes, HeaderTimeout: headerTimeout})
	d.log = eventlog.NewLog(eventlog.Config{Writer: os.Stdout, Fields: []any{"seat", s.Seat, "dataCentre", s.DataCentre}})
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMegabytes) * (1 << 20)))
	d.metrics = newMetrics(metricsConfig{Collect: d.collect})
	d.client = h1.NewClient()
	d.mesh = peer.NewMesh(peer.Config{
		DataCentre:     s.DataCentre,
		LocalTransport: link.NewTransport(link.Config{IdleTimeout: keepPeer, MaxConnectionsPerHost: maxPeerConnections}),
		HandleMessage:  func(e message.Envelope) { d.learn(func(g *gateway.Gateway) { g.HandleMessage(e) }) },
		BuildReply:     d.pong,
		OnSendFailure: func(to ident.Instance, reason string) {
			d.do(func(g *gateway.Gateway) { g.HandlePeerFailure(to, reason) })
		},
		PostTimeout: peerTimeout,
	})
	d.stages = stagecall.NewClient(stagecall.Config{
		HTTPClient: d.client,
		OnReply: func(id batching.CallID, r batching.Reply) {
			d.do(func(g *gateway.Gateway) { g.Batcher().HandleReply(id, r) })
		},
		OnFailed: func(id batching.CallID, f batching.CallFailure, detail string) {
			d.do(func(g *gateway.Gateway) { g.Batcher().HandleCallFailure(id, f, detail) })
		},
		OnFreed: func(handles []message.ResultHandle) {
			d.do(func(g *gateway.Gateway) { g.Batcher().HandleFreed(handles) })
		},
		OnInspected: func(e ident.Endpoint, free int) {
			d.do(func(g *gateway.Gateway) { g.Batcher().HandleInspection(e, free) })
		},
		LogEvent: d.log.WriteEvent,
	})
	d.entry = entry.NewServer(entry.Config{
		WithGateway:   d.do,
		HTTPClient:    d.client,
		Limits:        func() published.Limits { return *d.limits.Load() },
		ShuttingDown:  d.leaving.Load,
		RecordRequest: d.metrics.observe,
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
		},
		Seeds:        s.Seeds,
		Retry:        gateway.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Timers:       timers,
		DecodeRecord: platform.DecodeRecord,
		Output: gateway.Output{
			NextStep:        d.entry.HandleStep,
			CancelAttempt:   d.entry.CancelAttempt,
			SendToPeer:      func(to membership.PeerAddress, m message.Envelope) { d.mesh.SendToAddress(to.Address, m) },
			LogEvent:        d.log.WriteEvent,
			StartCall:       d.stages.StartCall,
			FreeResults:     d.stages.FreeResults,
			InspectEndpoint: d.stages.InspectEndpoint,
		},
	})})
	d.follower = d.newFollower()
	return d, nil
}

func (d *daemon) newFollower() *metadata.Follower {
	dialer := &net.Dialer{Timeout: peerTimeout}
	d.store = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}
	return metadata.NewFollower(metadata.Config{
		Store: platform.Store{Address: d.settings.PlatformAddress, RoundTrip: d.store.RoundTrip},
		OnListing: func(r []replica.Record, asOf replica.Revision) {
			d.learn(func(g *gateway.Gateway) { g.HandleListing(r, asOf) })
		},
		OnChanges: func(r []replica.Record, asOf replica.Revision) {
			d.learn(func(g *gateway.Gateway) { g.HandleChanges(r, asOf) })
		},
		OnUnavailable: func(reason error) {
			d.log.WriteEvent("platformLost", "reason", reason)
			d.do(func(g *gateway.Gateway) { g.HandlePlatformUnavailable() })
		},
		OnAvailable: func() {
			d.log.WriteEvent("platformBack")
			d.do(func(g *gateway.Gateway) { g.HandlePlatformAvailable() })
		},
		IsReader: func() (reads bool) {
			d.do(func(g *gateway.Gateway) { reads = g.ReadsPlatform() })
			return reads
		},
		AsOf: func() (asOf replica.Revision) {
			d.do(func(g *gateway.Gateway) { asOf = g.AsOf() })
			return asOf
		},
	})
}

func (d *daemon) do(f func(*gateway.Gateway)) { d.owner.WithKernel(f) }

// pong answers the pings of another instance.
func (d *daemon) pong(batch []message.Envelope) []message.Envelope {
	ping := slices.IndexFunc(batch, func(e message.Envelope) bool { return e.Ping != nil })
	if ping < 0 {
		return nil
	}
	var answer message.Envelope
	d.do(func(g *gateway.Gateway) { answer = g.AnswerPing(*batch[ping].Ping) })
	return []message.Envelope{answer}
}

// learn lets the gateway take records in, and takes the limits over.
func (d *daemon) learn(f func(*gateway.Gateway)) {
	d.do(func(g *gateway.Gateway) {
		f(g)
		if c := g.Catalog(); c != nil {
			d.limits.Store(&c.Limits)
		}
	})
}

func (d *daemon) run() error {
	callers := &http.Server{
		Handler:           d.entry,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.idle.changed,
		ErrorLog:          newErrorLog(d.log),
	}
	peers := &http.Server{Handler: d.mesh.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * keepPeer, ErrorLog: newErrorLog(d.log)}
	ready := &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout, ErrorLog: newErrorLog(d.log)}
	reports := &http.Server{Handler: d.metrics.handler(), ReadHeaderTimeout: headerTimeout, ErrorLog: newErrorLog(d.log)}
	failed := make(chan error, 4)
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{ready, d.settings.ReadyListen}, {peers, d.settings.PeerListen}, {reports, d.settings.MetricsListen}, {callers, d.settings.CallerListen}} {
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.owner.Run(stop)
	go d.follower.Run(ctx)
	go d.watchSettings(stop)
	go d.sweepIdle(stop)
	d.log.WriteEvent("started", "callers", d.settings.CallerListen, "seeds", len(d.settings.Seeds))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return errors.Annotate(err, "a listener ended")
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload("signal")
				continue
			}
			d.shutDown(callers, signals)
			close(stop)
			d.log.Close()
			return nil
		}
	}
}

// serveReady answers the platform's balancer.
func (d *daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	d.do(func(g *gateway.Gateway) { ready = g.Ready() })
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

// shutDown is the planned stop: not ready at once, connections closed after
// their answers, everything in flight finished. A second signal or the limit
// ends it early.
func (d *daemon) shutDown(callers *http.Server, signals <-chan os.Signal) {
	begun := time.Now()
	d.leaving.Store(true)
	d.do(func(g *gateway.Gateway) { g.BeginShutdown() })
	d.log.WriteEvent("stopRequested", "limit", d.settings.ShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout-stopMargin)
	defer cancel()
	select {
	case <-time.After(min(noticeTime, d.settings.ShutdownTimeout/2)):
	case <-signals:
	}
	conclude := time.AfterFunc(time.Until(begun.Add(d.settings.ShutdownTimeout-concludeMargin)), func() {
		d.do(func(g *gateway.Gateway) { g.RefuseUnsent() })
	})
	defer conclude.Stop()
	if err := callers.Shutdown(ctx); err != nil {
		inFlight := 0
		d.do(func(g *gateway.Gateway) { inFlight = g.InFlight() })
		d.log.WriteEvent("stopLimitReached", "inFlight", inFlight, "after", time.Since(begun))
		return
	}
	d.log.WriteEvent("stopComplete", "after", time.Since(begun))
}

// watchSettings reads the settings file again when it changes, also without a
// signal.
func (d *daemon) watchSettings(stop <-chan struct{}) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	text, _ := os.ReadFile(d.config.SettingsPath)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now, err := os.ReadFile(d.config.SettingsPath)
		if err != nil || bytes.Equal(now, text) {
			continue
		}
		text = now
		d.reload("changed file")
	}
}

// reload takes over what may change while the daemon runs: the seeds and the
// retry budget. Bad settings change nothing.
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
	d.do(func(g *gateway.Gateway) {
		g.Reload(s.Seeds, gateway.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow})
	})
	d.log.WriteEvent("reloaded", "cause", cause, "seeds", len(s.Seeds))
}

// sweepIdle closes the connections of callers that stay unused too long.
func (d *daemon) sweepIdle(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if limit := d.limits.Load().IdleTimeout; limit > 0 {
				d.idle.closeIdle(limit)
			}
		}
	}
}
