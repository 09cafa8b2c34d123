// Package fleet runs real gateway daemons as processes on loopback, in front
// of a site of simulated services, for tests and load runs. It signals only
// processes that it started.
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
	// readyTimeout limits the wait for a daemon to become ready.
	readyTimeout = 15 * time.Second
	// exitTimeout limits the wait for a daemon to exit: the daemon's own
	// limit on a graceful shutdown and a margin.
	exitTimeout       = 12 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// firstPort is the lowest port that daemons listen on. The ports above it
	// are divided into blocks, and a program that runs a fleet picks its block
	// by its process id, so that programs that run at once rarely collide.
	// maxPortAttempts limits the search for free ports.
	firstPort       = 10_000
	portBlockCount  = 40
	portsPerBlock   = 550
	maxPortAttempts = 1000
)

// Config sets up a Fleet.
type Config struct {
	// Binary is the path of the daemon's executable.
	Binary string
	// Directory receives the settings files and logs.
	Directory string
	// Count is the number of daemons.
	Count int
	// Site provides the metadata store and the workers.
	Site *site.Site
	// StoreAddress returns the address at which a daemon reaches the metadata
	// store, and AnnounceAddress the address that a daemon announces to other
	// daemons in place of its own peer address. A caller can return addresses
	// of proxies. Both are optional.
	StoreAddress    func(daemon string) (string, error)
	AnnounceAddress func(daemon, address string) (string, error)
	// Settings is INI text that is appended to the settings of each daemon. It may be empty.
	Settings string
}

// Daemon is one gateway daemon of the fleet. It can be killed and launched
// again under the same name and addresses.
type Daemon struct {
	Name           string
	CallerAddress  string
	MetricsAddress string
	PeerAddress    string
	ReadyAddress   string
	LogPath        string

	settingsPath string
	binary       string
	command      *exec.Cmd
	// exited holds the result of the last process once it has exited. Readers
	// put the value back, so that any number of them see it.
	exited chan error
}

// Fleet is a group of daemons that serve one site and know each other as members.
type Fleet struct {
	Daemons []*Daemon
}

// Start starts the daemons and waits until all are ready. If a process fails to
// start or to become ready, Start kills all of them and returns an error.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{}
	peerAddresses, err := findFreeAddresses(c.Count)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for n := range c.Count {
		d, err := newDaemon(c, n, peerAddresses)
		if err != nil {
			f.Stop()
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

// Build compiles the daemon into a directory and returns the path of the
// executable.
func Build(directory string) (string, error) {
	binary := filepath.Join(directory, "anvilcrossd")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "anvilcross/anvilcrossd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Annotatef(err, "building the daemon: %s", output)
	}
	return binary, nil
}

// portOffset counts through the port block, so that a port is not reused until
// the whole block has been tried.
var portOffset atomic.Int64

// findFreeAddresses returns loopback addresses that are not in use. Their ports
// lie below the system's ephemeral range, so that no outgoing connection takes
// a daemon's port while the daemon is down.
func findFreeAddresses(count int) ([]string, error) {
	var addresses []string
	blockStart := firstPort + os.Getpid()%portBlockCount*portsPerBlock
	for attempts := 0; len(addresses) < count; attempts++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", blockStart+int(portOffset.Add(1)%portsPerBlock)))
		if err != nil {
			if attempts > maxPortAttempts {
				return nil, errors.Trace(err)
			}
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// newDaemon assigns addresses to daemon number n and writes its settings file.
func newDaemon(c Config, n int, peerAddresses []string) (*Daemon, error) {
	addresses, err := findFreeAddresses(3)
	if err != nil {
		return nil, errors.Trace(err)
	}
	name := fmt.Sprintf("entry-%d", n)
	d := &Daemon{
		Name:           name,
		CallerAddress:  addresses[0],
		MetricsAddress: addresses[2],
		LogPath:        filepath.Join(c.Directory, name+".log"),
		PeerAddress:    peerAddresses[n],
		ReadyAddress:   addresses[1],
		settingsPath:   filepath.Join(c.Directory, name+".ini"),
		binary:         c.Binary,
	}
	storeAddress, announceAddress := c.Site.StoreAddress(), peerAddresses[n]
	if c.StoreAddress != nil {
		if storeAddress, err = c.StoreAddress(name); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if c.AnnounceAddress != nil {
		if announceAddress, err = c.AnnounceAddress(name, peerAddresses[n]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	zones := site.Zones()
	text := fmt.Sprintf("[instance]\nseat = %s\ndataCentre = %s\nseeds = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\nannounce = %s\nmetrics = %s\n[platform]\naddress = %s\n",
		name, zones[n%len(zones)], strings.Join(peerAddresses[:min(len(peerAddresses), 3)], ","), addresses[0], addresses[1], peerAddresses[n], announceAddress, addresses[2], storeAddress)
	text += c.Settings
	return d, errors.Trace(os.WriteFile(d.settingsPath, []byte(text), 0o600))
}

// Launch starts the daemon's process, which appends its output to the log. The
// previous process must have exited.
func (d *Daemon) Launch() error {
	logFile, err := os.OpenFile(d.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	d.command = exec.Command(d.binary, "gateway", "--settings", d.settingsPath)
	d.command.Stdout = logFile
	d.command.Stderr = logFile
	if err := d.command.Start(); err != nil {
		return errors.Trace(err)
	}
	d.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan error) {
		exited <- c.Wait()
		_ = logFile.Close()
	}(d.command, d.exited)
	return nil
}

// WaitReady waits until the daemon reports that it accepts connections. It
// returns an error if the process exits first or the wait times out.
func (d *Daemon) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case err := <-d.exited:
			d.exited <- err
			return errors.Errorf("%s exited before it was ready (%v); see %s", d.Name, err, d.LogPath)
		default:
		}
		if client.IsReady(d.ReadyAddress) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("%s did not become ready; see %s", d.Name, d.LogPath)
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) error { return errors.Trace(d.command.Process.Signal(s)) }

// WaitExit waits for the process to exit. It returns the process's error, or
// one if the process is still running after the exit timeout.
func (d *Daemon) WaitExit() error {
	select {
	case err := <-d.exited:
		d.exited <- err
		return errors.Trace(err)
	case <-time.After(exitTimeout):
		return errors.Errorf("%s did not exit", d.Name)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (d *Daemon) Kill() error {
	if err := d.Signal(syscall.SIGKILL); err != nil {
		return errors.Trace(err)
	}
	err := <-d.exited
	d.exited <- err
	return nil
}

// Stop kills all processes of the fleet and waits for them to exit.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.command != nil && d.command.Process != nil {
			// The signal fails if the process has exited already.
			_ = d.Signal(syscall.SIGKILL)
			err := <-d.exited
			d.exited <- err
		}
	}
}
