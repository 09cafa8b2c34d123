// Package fleet runs real gateway daemons as processes on loopback, in front
// of a site that the stand-ins play. It ends only processes that it started.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
)

const (
	// readyLimit bounds the wait for a daemon to become ready.
	readyLimit = 15 * time.Second
	// stopLimit bounds a planned stop: the daemons' own limit and a margin.
	stopLimit = 12 * time.Second
	readyPoll = 50 * time.Millisecond
	// firstPort is the first port of daemons. Each program that runs a fleet
	// takes its ports from one of several blocks, by its process id; maxPortTries
	// bounds the attempts to find free ones.
	firstPort    = 10_000
	portBlocks   = 40
	blockPorts   = 550
	maxPortTries = 1000
)

// Config sets up a Fleet.
type Config struct {
	// Binary is the daemon's program.
	Binary string
	// Directory gets settings and logs.
	Directory string
	Count     int
	Site      *site.Site
	// StoreAddress and Announce return the addresses at which a daemon reaches the
	// metadata store and is reached by others: those of proxies, for example.
	// They may be nil.
	StoreAddress    func(daemon string) (string, error)
	AnnounceAddress func(daemon, address string) (string, error)
}

// Daemon is one process of the fleet.
type Daemon struct {
	Name           string
	CallerAddress  string
	MetricsAddress string
	LogPath        string

	ready    string
	settings string
	binary   string
	command  *exec.Cmd
	ended    chan error
}

// Fleet is a group of daemons that know each other.
type Fleet struct {
	Daemons []*Daemon
}

// Start starts the daemons and waits until all are ready.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{}
	peers, err := freeAddresses(c.Count)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for n := range c.Count {
		d, err := newDaemon(c, n, peers)
		if err != nil {
			return nil, errors.Trace(err)
		}
		f.Daemons = append(f.Daemons, d)
		if err := d.Launch(); err != nil {
			f.Stop()
			return nil, errors.Trace(err)
		}
	}
	for _, d := range f.Daemons {
		if err := d.WaitReady(); err != nil {
			f.Stop()
			return nil, errors.Trace(err)
		}
	}
	return f, nil
}

// Build builds the daemon's program into a directory and returns its path.
func Build(directory string) (string, error) {
	binary := filepath.Join(directory, "anvilcrossd")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "anvilcross/anvilcrossd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Annotatef(err, "building the daemon: %s", output)
	}
	return binary, nil
}

// nextPort steps through the block, so that an address that was returned is not
// returned again soon.
var nextPort atomic.Int64

// freeAddresses returns loopback addresses that nobody listens on. Their ports
// lie below those that the system gives to outgoing connections, so that none of
// these takes one while a daemon is down.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	first := firstPort + os.Getpid()%portBlocks*blockPorts
	for tries := 0; len(addresses) < count; tries++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+int(nextPort.Add(1)%blockPorts)))
		if err != nil {
			if tries > maxPortTries {
				return nil, errors.Trace(err)
			}
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func newDaemon(c Config, n int, peers []string) (*Daemon, error) {
	own, err := freeAddresses(3)
	if err != nil {
		return nil, errors.Trace(err)
	}
	name := fmt.Sprintf("entry-%d", n)
	d := &Daemon{
		Name:           name,
		CallerAddress:  own[0],
		MetricsAddress: own[2],
		LogPath:        filepath.Join(c.Directory, name+".log"),
		ready:          own[1],
		settings:       filepath.Join(c.Directory, name+".ini"),
		binary:         c.Binary,
	}
	store, announce := c.Site.StoreAddress(), peers[n]
	if c.StoreAddress != nil {
		if store, err = c.StoreAddress(name); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if c.AnnounceAddress != nil {
		if announce, err = c.AnnounceAddress(name, peers[n]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	zones := site.Zones()
	text := fmt.Sprintf("[instance]\nseat = %s\ndataCentre = %s\nseeds = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\nannounce = %s\nmetrics = %s\n[platform]\naddress = %s\n",
		name, zones[n%len(zones)], strings.Join(peers[:min(len(peers), 3)], ","), own[0], own[1], peers[n], announce, own[2], store)
	return d, errors.Trace(os.WriteFile(d.settings, []byte(text), 0o600))
}

// Launch starts the daemon's process.
func (d *Daemon) Launch() error {
	log, err := os.OpenFile(d.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	d.command = exec.Command(d.binary, "gateway", "--settings", d.settings)
	d.command.Stdout = log
	d.command.Stderr = log
	if err := d.command.Start(); err != nil {
		return errors.Trace(err)
	}
	d.ended = make(chan error, 1)
	go func(c *exec.Cmd, ended chan error) {
		ended <- c.Wait()
		_ = log.Close()
	}(d.command, d.ended)
	return nil
}

// WaitReady waits until the daemon takes connections.
func (d *Daemon) WaitReady() error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		select {
		case err := <-d.ended:
			d.ended <- err
			return errors.Errorf("%s ended at once (%v); see %s", d.Name, err, d.LogPath)
		default:
		}
		if client.IsReady(d.ready) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("%s did not become ready; see %s", d.Name, d.LogPath)
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) error { return errors.Trace(d.command.Process.Signal(s)) }

// WaitExit waits for the process to end.
func (d *Daemon) WaitExit() error {
	select {
	case err := <-d.ended:
		d.ended <- err
		return errors.Trace(err)
	case <-time.After(stopLimit):
		return errors.Errorf("%s did not end", d.Name)
	}
}

// Kill ends the process at once.
func (d *Daemon) Kill() error {
	if err := d.Signal(syscall.SIGKILL); err != nil {
		return errors.Trace(err)
	}
	err := <-d.ended
	d.ended <- err
	return nil
}

// Stop ends all processes of the fleet.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.command != nil && d.command.Process != nil {
			// A process that has ended already needs no signal.
			_ = d.Signal(syscall.SIGKILL)
			err := <-d.ended
			d.ended <- err
		}
	}
}
