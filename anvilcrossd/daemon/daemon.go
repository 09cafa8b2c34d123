// Package daemon is the entry instance's process: it reads the settings, puts
// the kernel and its adapters together, serves until a signal, and stops
// without cutting a request off.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"anvilcross/anvilcrossd/caller"
	"anvilcross/anvilcrossd/endpoint"
	"anvilcross/anvilcrossd/gatewayd"
	"anvilcross/anvilcrossd/link"
	"anvilcross/anvilcrossd/operator"
	"anvilcross/anvilcrossd/owner"
	"anvilcross/anvilcrossd/peer"
	"anvilcross/anvilcrossd/platform"
	"anvilcross/anvilcrossd/settings"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/timer"
)

// arguments are the flags that all ways to run the daemon share.
type arguments struct {
	Settings string   `required:"" help:"INI file with this instance's settings." type:"existingfile" short:"s"`
	Set      []string `help:"Override a setting: section.key=value. May be repeated." placeholder:"SECTION.KEY=VALUE" sep:"none"`
	Check    bool     `help:"Check the settings and exit."`
}

// commands are the ways to run the daemon.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve the callers' interface of anvilcross itself."`
	Gateway gatewayCommand `cmd:"" help:"Serve on a users' platform, in front of its services."`
}

type serveCommand struct{ arguments }

type gatewayCommand struct{ arguments }

// Run serves the callers' interface.
func (c *serveCommand) Run() error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	s, err := settings.Parse(text, c.Set)
	if err != nil || c.Check {
		return checked(c.Settings, err)
	}
	return newDaemon(s).run()
}

// Run serves on a users' platform.
func (c *gatewayCommand) Run() error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	s, err := settings.ParseGateway(text, c.Set)
	if err != nil || c.Check {
		return checked(c.Settings, err)
	}
	return gatewayd.Run(gatewayd.Config{Settings: s, SettingsPath: c.Settings, Overrides: c.Set})
}

// settingsError is a mistake in the settings; it has an exit code of its own.
type settingsError struct{ error }

// checked tells the outcome of a check of the settings.
func checked(path string, err error) error {
	if err != nil {
		return settingsError{errors.Annotate(err, path)}
	}
	fmt.Println("settings are good")
	return nil
}

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs the daemon and returns its exit code.
func Main(args []string) int {
	var c commands
	parser := kong.Must(&c, kong.Name("anvilcrossd"), kong.Description("The anvilcross daemon: serves callers on an entry instance.\n\nExample: anvilcrossd --settings instance.ini --set log.level=debug"))
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrossd:", err)
		return exitSettings
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrossd:", err)
		if _, mistake := err.(settingsError); mistake {
			return exitSettings
		}
		return exitFailed
	}
	return exitOK
}

const (
	maxEndpointConnections = 512
	maxPeerConnections     = 2
	// keepEndpoint and keepPeer are how long unused connections are kept: an
	// instance calls the same endpoints all the time, but most peers rarely.
	keepEndpoint = 30 * time.Second
	keepPeer     = 1500 * time.Millisecond
	// drainWait is how long a stopping instance goes on accepting requests
	// while the balancer notices that it is not ready.
	drainWait = 300 * time.Millisecond
)

// daemon holds the parts of the process.
type daemon struct {
	settings *settings.Settings
	log      *logrus.Entry
	owner    *owner.Owner[node.Node]
	callers  *caller.Server
	operator *operator.Server
	mesh     *peer.Mesh
	reader   *platform.Client
	stop     chan struct{}
}

func newDaemon(s *settings.Settings) *daemon {
	d := &daemon{settings: s, log: newLogger(s), stop: make(chan struct{})}
	near := link.NewTransport(link.Config{IdleTimeout: keepEndpoint, MaxConnectionsPerHost: maxEndpointConnections})
	far := link.NewTransport(link.Config{IdleTimeout: keepEndpoint, MaxConnectionsPerHost: maxEndpointConnections, OneWayDelay: s.CrossDataCentreDelay, LossShare: s.CrossDataCentreLossShare})
	d.mesh = peer.NewMesh(peer.Config{
		SigningKey:      s.PeerKey,
		DataCentre:      s.DataCentre,
		LocalTransport:  link.NewTransport(link.Config{IdleTimeout: keepPeer, MaxConnectionsPerHost: maxPeerConnections}),
		RemoteTransport: link.NewTransport(link.Config{IdleTimeout: keepPeer, MaxConnectionsPerHost: maxPeerConnections, OneWayDelay: s.CrossDataCentreDelay, LossShare: s.CrossDataCentreLossShare}),
		HandleMessage:   func(e message.Envelope) { d.do(func(n *node.Node) { n.HandleMessage(e) }) },
	})
	client := endpoint.NewClient(endpoint.Config{DataCentre: s.DataCentre, LocalTransport: near, RemoteTransport: far, Callbacks: endpoint.Callbacks{
		OnToken: func(id ident.CallID, token string) { d.do(func(n *node.Node) { n.CallToken(id, token) }) },
		OnDone:  func(id ident.CallID, r node.CallResult) { d.do(func(n *node.Node) { n.CallDone(id, r) }) },
		OnFailed: func(id ident.CallID, f node.CallFailure, detail string) {
			d.do(func(n *node.Node) { n.CallFailed(id, f, detail) })
		},
	}})
	d.operator = operator.NewServer(operator.Config{WithNode: d.do, PeerTransportCounts: func() (int64, int64) { return d.mesh.DroppedMessages(), d.mesh.SentBytes() }})
	d.callers = caller.NewServer(caller.Config{WithNode: d.do, RecordRequest: d.operator.RecordRequest})
	timers := timer.NewScheduler(timer.Config{Start: time.Now()})
	d.owner = owner.NewOwner(owner.Config[node.Node]{Timers: timers, Kernel: node.NewNode(node.Config{
		Seat:        s.Seat,
		Incarnation: newIncarnation(),
		DataCentre:  s.DataCentre,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Timers:      timers,
		TicketKey:   s.TicketKey,
		Policy:      s.RoutingPolicy,
		Bounds:      s.Bounds,
		Output: node.Output{
			StartCall:  client.Start,
			CancelCall: client.Cancel,
			SendAnswer: d.callers.SendAnswer,
			SendToken:  d.callers.SendToken,
			SendToPeer: d.mesh.Send,
			LogEvent:   d.logEvent,
		},
	})})
	d.reader = platform.NewClient(platform.Config{
		Address:         s.PlatformAddress,
		IsReader:        d.isReader,
		CurrentRevision: d.revision,
		OnConfiguration: func(doc *configuration.Document) { d.do(func(n *node.Node) { n.Configure(doc) }) },
		OnInstanceList:  d.listed,
		OnReadError:     func(what string, err error) { d.log.WithError(err).WithField("read", what).Warn("platformUnreachable") },
	})
	return d
}

// newIncarnation draws the identity of this process. Two processes of a seat
// must never share one, so it does not come from a clock.
func newIncarnation() ident.Incarnation {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		panic("no randomness for the incarnation: " + err.Error())
	}
	return ident.Incarnation(binary.LittleEndian.Uint64(b[:]) >> 1)
}

func newLogger(s *settings.Settings) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		panic("unchecked log level: " + err.Error())
	}
	log.SetLevel(level)
	return log.WithFields(logrus.Fields{"seat": s.Seat, "dataCentre": s.DataCentre})
}

func (d *daemon) do(f func(*node.Node)) { d.owner.WithKernel(f) }

func (d *daemon) isReader() (reader bool) {
	d.do(func(n *node.Node) { reader = n.IsReader() })
	return reader
}

func (d *daemon) revision() (revision ident.ConfigurationRevision) {
	d.do(func(n *node.Node) { revision = n.Revision() })
	return revision
}

func (d *daemon) logEvent(e node.Event) {
	d.log.WithFields(logrus.Fields{"key": e.Key.String(), "detail": e.Detail, "count": e.Count}).Info(e.Name)
}

func (d *daemon) listed(list *platform.InstanceList) {
	addresses := make(map[ident.Instance]peer.Address, len(list.Instances))
	var peers []ident.Instance
	for _, i := range list.Instances {
		addresses[i.Seat] = peer.Address{DataCentre: i.DataCentre, HostPort: i.PeerAddress}
		if i.Seat != d.settings.Seat {
			peers = append(peers, i.Seat)
		}
	}
	d.mesh.UpdateAddresses(addresses)
	d.do(func(n *node.Node) {
		n.SetBootstrapPeers(peers)
		n.UpdateEndpoints(list.Endpoints)
	})
}

func (d *daemon) run() error {
	callers, err := d.callers.HTTPServer()
	if err != nil {
		return errors.Trace(err)
	}
	operators := d.operator.HTTPServer()
	peers := &http.Server{Handler: d.mesh.Handler(), ReadHeaderTimeout: time.Second, IdleTimeout: 2 * keepPeer}
	failed := make(chan error, 3)
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{operators, d.settings.OperatorListen}, {peers, d.settings.PeerListen}, {callers, d.settings.CallerListen}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.owner.Run(d.stop)
	go d.operator.Run(d.stop)
	go d.reader.Run(ctx)
	go d.releaseStartMemory()
	d.log.WithField("callers", d.settings.CallerListen).Info("started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return errors.Annotate(err, "a listener ended")
	case <-signals:
	}
	d.shutDown(callers, signals)
	close(d.stop)
	d.mesh.Close()
	return errors.Trace(d.operator.Close())
}

const readyPoll = 500 * time.Millisecond

// releaseStartMemory gives memory back once the instance is ready. The start
// speaks to every other seat at once, and an idle process would keep what that
// took until the runtime's next collection, minutes later.
func (d *daemon) releaseStartMemory() {
	ready := false
	for !ready {
		select {
		case <-d.stop:
			return
		case <-time.After(readyPoll):
		}
		d.do(func(n *node.Node) { ready = n.Ready() })
	}
	time.Sleep(2 * keepPeer)
	debug.FreeOSMemory()
}

// shutDown is the planned stop: not ready, no new connections, everything in
// flight finished and the tickets handed over. A second signal or the limit
// ends it early.
func (d *daemon) shutDown(callers *http.Server, signals <-chan os.Signal) {
	d.log.Info("stopRequested")
	ended := make(chan struct{})
	d.do(func(n *node.Node) { n.BeginDrain() })
	time.Sleep(drainWait)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	go func() { _ = callers.Shutdown(ctx) }()
	d.do(func(n *node.Node) { n.Stop(func() { close(ended) }) })
	select {
	case <-ended:
		_ = callers.Shutdown(ctx)
		d.log.Info("stopComplete")
	case <-signals:
		d.log.Warn("stopCutShort")
	case <-ctx.Done():
		d.log.Warn("stopLimitReached")
	}
}
