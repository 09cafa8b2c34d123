// Package daemon is the command line of anvilcrossd and runs its subcommand
// serve: it reads the settings, connects the kernel (a node) with its adapters,
// serves until it gets a signal and shuts down gracefully. Package gatewayd runs
// the subcommand gateway.
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
	"anvilcross/anvilcrossd/signals"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/timer"
)

// sharedFlags are the flags of every subcommand.
type sharedFlags struct {
	Settings string   `required:"" help:"INI file with this instance's settings." type:"existingfile" short:"s"`
	Set      []string `help:"Override a setting: section.key=value. May be repeated." placeholder:"SECTION.KEY=VALUE" sep:"none"`
	Check    bool     `help:"Check the settings and exit."`
}

// subcommands is the command line as kong parses it.
type subcommands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve the callers' interface of anvilcross itself."`
	Gateway gatewayCommand `cmd:"" help:"Serve on a users' platform, in front of its services."`
}

type serveCommand struct{ sharedFlags }

type gatewayCommand struct{ sharedFlags }

// Run serves the callers' interface of anvilcross until a signal.
func (c *serveCommand) Run() error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	s, err := settings.Parse(text, c.Set)
	if err != nil || c.Check {
		return reportCheck(c.Settings, err)
	}
	return newDaemon(s).run()
}

// Run serves as the gateway of a users' platform until a signal.
func (c *gatewayCommand) Run() error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	s, err := settings.ParseGateway(text, c.Set)
	if err != nil || c.Check {
		return reportCheck(c.Settings, err)
	}
	return gatewayd.Run(gatewayd.Config{Settings: s, SettingsPath: c.Settings, Overrides: c.Set})
}

// settingsError is an error in the settings. It leads to exitUsage.
type settingsError struct{ error }

// reportCheck returns err as a settingsError, or prints that the settings are
// valid.
func reportCheck(path string, err error) error {
	if err != nil {
		return settingsError{errors.Annotate(err, path)}
	}
	fmt.Println("settings are valid")
	return nil
}

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage stands for wrong arguments or settings.
	exitUsage = 2
)

// Main runs the daemon and returns its exit code.
func Main(args []string) int {
	var c subcommands
	parser := kong.Must(&c, kong.Name("anvilcrossd"), kong.Description("The anvilcross daemon: serves callers on an entry instance.\n\nExample: anvilcrossd --settings instance.ini --set log.level=debug"))
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrossd:", err)
		return exitUsage
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrossd:", err)
		if _, isSettingsError := err.(settingsError); isSettingsError {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

const (
	maxConnectionsPerEndpoint = 512
	maxConnectionsPerPeer     = 2
	// endpointIdleTimeout and peerIdleTimeout are how long unused connections
	// are kept. The peers' is shorter: an instance calls the same endpoints all
	// the time, but most peers rarely.
	endpointIdleTimeout = 30 * time.Second
	peerIdleTimeout     = 1500 * time.Millisecond
	// drainDelay is how long an instance goes on accepting requests after the
	// start of its shutdown, so that the load balancer notices that it is not
	// ready.
	drainDelay = 300 * time.Millisecond
)

// daemon holds the node and its adapters.
type daemon struct {
	settings       *settings.Settings
	log            *logrus.Entry
	owner          *owner.Owner[node.Node]
	callerServer   *caller.Server
	operatorServer *operator.Server
	mesh           *peer.Mesh
	platformClient *platform.Client
	stop           chan struct{}
}

func newDaemon(s *settings.Settings) *daemon {
	d := &daemon{settings: s, log: newLogger(s), stop: make(chan struct{})}
	localTransport := link.NewTransport(link.Config{IdleTimeout: endpointIdleTimeout, MaxConnectionsPerHost: maxConnectionsPerEndpoint})
	remoteTransport := link.NewTransport(link.Config{IdleTimeout: endpointIdleTimeout, MaxConnectionsPerHost: maxConnectionsPerEndpoint, OneWayDelay: s.CrossDataCentreDelay, LossShare: s.CrossDataCentreLossShare})
	d.mesh = peer.NewMesh(peer.Config{
		SigningKey:      s.PeerKey,
		DataCentre:      s.DataCentre,
		LocalTransport:  link.NewTransport(link.Config{IdleTimeout: peerIdleTimeout, MaxConnectionsPerHost: maxConnectionsPerPeer}),
		RemoteTransport: link.NewTransport(link.Config{IdleTimeout: peerIdleTimeout, MaxConnectionsPerHost: maxConnectionsPerPeer, OneWayDelay: s.CrossDataCentreDelay, LossShare: s.CrossDataCentreLossShare}),
		HandleMessage:   func(e message.Envelope) { d.withNode(func(n *node.Node) { n.HandleMessage(e) }) },
	})
	endpointClient := endpoint.NewClient(endpoint.Config{DataCentre: s.DataCentre, LocalTransport: localTransport, RemoteTransport: remoteTransport, Callbacks: endpoint.Callbacks{
		OnToken: func(id ident.CallID, token string) { d.withNode(func(n *node.Node) { n.HandleToken(id, token) }) },
		OnDone:  func(id ident.CallID, r node.CallResult) { d.withNode(func(n *node.Node) { n.HandleCallResult(id, r) }) },
		OnFailed: func(id ident.CallID, f node.CallFailure, detail string) {
			d.withNode(func(n *node.Node) { n.HandleCallFailure(id, f, detail) })
		},
	}})
	d.operatorServer = operator.NewServer(operator.Config{WithNode: d.withNode, PeerTransportCounts: func() (int64, int64) { return d.mesh.DroppedMessages(), d.mesh.SentBytes() }})
	d.callerServer = caller.NewServer(caller.Config{WithNode: d.withNode, RecordRequest: d.operatorServer.RecordRequest})
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
			StartCall:  endpointClient.StartCall,
			CancelCall: endpointClient.CancelCall,
			SendAnswer: d.callerServer.SendAnswer,
			SendToken:  d.callerServer.SendToken,
			SendToPeer: d.mesh.Send,
			LogEvent:   d.logEvent,
		},
	})})
	d.platformClient = platform.NewClient(platform.Config{
		Address:         s.PlatformAddress,
		IsReader:        d.isReader,
		CurrentRevision: d.currentRevision,
		OnConfiguration: func(doc *configuration.Document) { d.withNode(func(n *node.Node) { n.Configure(doc) }) },
		OnInstanceList:  d.applyInstanceList,
		OnReadError:     func(name string, err error) { d.log.WithError(err).WithField("read", name).Warn("platformUnreachable") },
	})
	return d
}

// newIncarnation returns a random identity of this process. Two processes of a
// seat must never have the same one, so it is not derived from a clock.
func newIncarnation() ident.Incarnation {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		panic("reading random bytes for the incarnation: " + err.Error())
	}
	return ident.Incarnation(binary.LittleEndian.Uint64(b[:]) >> 1)
}

func newLogger(s *settings.Settings) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		panic("the settings hold an invalid log level: " + err.Error())
	}
	log.SetLevel(level)
	return log.WithFields(logrus.Fields{"seat": s.Seat, "dataCentre": s.DataCentre})
}

func (d *daemon) withNode(f func(*node.Node)) { d.owner.WithKernel(f) }

func (d *daemon) isReader() (reader bool) {
	d.withNode(func(n *node.Node) { reader = n.IsReader() })
	return reader
}

func (d *daemon) currentRevision() (revision ident.ConfigurationRevision) {
	d.withNode(func(n *node.Node) { revision = n.Revision() })
	return revision
}

func (d *daemon) logEvent(e node.Event) {
	d.log.WithFields(logrus.Fields{"key": e.Key.String(), "detail": e.Detail, "count": e.Count}).Info(e.Name)
}

// applyInstanceList passes the platform's instance list to the peer mesh and
// to the node.
func (d *daemon) applyInstanceList(list *platform.InstanceList) {
	addresses := make(map[ident.Instance]peer.Address, len(list.Instances))
	var peers []ident.Instance
	for _, i := range list.Instances {
		addresses[i.Seat] = peer.Address{DataCentre: i.DataCentre, HostPort: i.PeerAddress}
		if i.Seat != d.settings.Seat {
			peers = append(peers, i.Seat)
		}
	}
	d.mesh.UpdateAddresses(addresses)
	d.withNode(func(n *node.Node) {
		n.SetBootstrapPeers(peers)
		n.UpdateEndpoints(list.Endpoints)
	})
}

func (d *daemon) run() error {
	callerHTTP, err := d.callerServer.HTTPServer()
	if err != nil {
		return errors.Trace(err)
	}
	operatorHTTP := d.operatorServer.HTTPServer()
	peerHTTP := &http.Server{Handler: d.mesh.Handler(), ReadHeaderTimeout: time.Second, IdleTimeout: 2 * peerIdleTimeout}
	serveErrors := make(chan error, 3)
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{operatorHTTP, d.settings.OperatorListen}, {peerHTTP, d.settings.PeerListen}, {callerHTTP, d.settings.CallerListen}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { serveErrors <- l.server.Serve(listener) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.owner.Run(d.stop)
	go d.operatorServer.Run(d.stop)
	go d.platformClient.Run(ctx)
	go d.releaseStartupMemory()
	d.log.WithField("callers", d.settings.CallerListen).Info("started")
	for stopped := false; !stopped; {
		select {
		case err := <-serveErrors:
			return errors.Annotate(err, "listener stopped")
		case s := <-signals.Incoming:
			stopped = s != syscall.SIGHUP
		}
	}
	d.shutDown(callerHTTP)
	close(d.stop)
	d.mesh.Close()
	return errors.Trace(d.operatorServer.Close())
}

const readyPollInterval = 500 * time.Millisecond

// releaseStartupMemory returns free memory to the operating system once the
// instance is ready. At its start the instance contacts every other seat at
// once, and an idle process would keep the memory of that until the runtime's
// next garbage collection, minutes later.
func (d *daemon) releaseStartupMemory() {
	ready := false
	for !ready {
		select {
		case <-d.stop:
			return
		case <-time.After(readyPollInterval):
		}
		d.withNode(func(n *node.Node) { ready = n.Ready() })
	}
	time.Sleep(2 * peerIdleTimeout)
	debug.FreeOSMemory()
}

// shutDown stops the instance gracefully: it reports not ready, closes the
// callers' listener after drainDelay, finishes the requests in flight, and hands
// its tickets and its seat's memory over to another instance. A second signal or
// the end of settings.Settings.ShutdownTimeout cuts it short.
func (d *daemon) shutDown(callerHTTP *http.Server) {
	d.log.Info("stopRequested")
	drained := make(chan struct{})
	d.withNode(func(n *node.Node) { n.BeginDrain() })
	time.Sleep(drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	go func() { _ = callerHTTP.Shutdown(ctx) }()
	d.withNode(func(n *node.Node) { n.BeginShutdown(func() { close(drained) }) })
	select {
	case <-drained:
		_ = callerHTTP.Shutdown(ctx)
		d.log.Info("stopComplete")
	case <-signals.Incoming:
		d.log.Warn("stopCutShort")
	case <-ctx.Done():
		d.log.Warn("stopLimitReached")
	}
}
