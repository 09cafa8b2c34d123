package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Zones and figures of a small deployment, as its sheet has them.
const (
	regionTable = `{"dolny-a":"dolny","dolny-b":"dolny","dolny-c":"dolny"}`
	heartbeat   = 1200 * time.Millisecond
	contactTime = 3 * time.Second
)

var zoneNames = []string{"dolny-a", "dolny-b", "dolny-c"}

// run is one run of a case.
type run struct {
	directory string
	// trouble is set unless the disruption is left out.
	trouble bool
	started time.Time
	store   *store
	daemons []*daemon
	mutex   sync.Mutex
	record  io.Writer
}

func newRun(directory string, record io.Writer, trouble bool) *run {
	r := &run{directory: directory, trouble: trouble, started: time.Now(), record: record}
	r.store = newStore()
	r.logf("trouble: %v", trouble)
	return r
}

// logf writes a line to the record, with the time since the start.
func (r *run) logf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// must ends a case that cannot run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newID returns a random id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// listen listens on a free port of the loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	return l
}

// daemon is one process of the system, on a loopback address of its own.
type daemon struct {
	name, zone, ip        string
	callers, ready, peers string
	settingsPath, logPath string
	command               *exec.Cmd
	exited                chan struct{}
	store                 string
	extraStore            func() string
}

// ports of the daemons, which are the same on all machines.
const (
	callersPort = 8625
	readyPort   = 8621
	peersPort   = 8628
	metricsPort = 7740
)

// freeAddress returns a loopback address at which all ports of a daemon are free.
func freeAddress() string {
	for range 200 {
		var b [2]byte
		_, _ = rand.Read(b[:])
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, b[0], 1+b[1]%250)
		free := true
		for _, port := range []int{callersPort, readyPort, peersPort, metricsPort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
	panic("no free loopback address")
}

// startDaemons starts as many daemons as there are zones, each in another one, and waits until all
// are ready.
func (r *run) startDaemons(count int) {
	for n := range count {
		ip := freeAddress()
		zone := zoneNames[n%len(zoneNames)]
		name := fmt.Sprintf("front-%s-%d", zone, 1+n/len(zoneNames))
		r.daemons = append(r.daemons, &daemon{
			name: name, zone: zone, ip: ip,
			callers: fmt.Sprintf("%s:%d", ip, callersPort), ready: fmt.Sprintf("%s:%d", ip, readyPort), peers: fmt.Sprintf("%s:%d", ip, peersPort),
			settingsPath: filepath.Join(r.directory, name+".ini"), logPath: filepath.Join(r.directory, name+".log"),
			store: r.store.address,
		})
	}
	for _, d := range r.daemons {
		r.launch(d)
	}
	for _, d := range r.daemons {
		r.waitReady(d)
	}
}

// settings fills in the template of the deploy file.
func (r *run) settings(d *daemon) string {
	template, err := os.ReadFile("deploy/settings.ini")
	must(err)
	seeds := []string{}
	for _, o := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, o.peers)
	}
	text := strings.NewReplacer(
		"{{node-name}}", d.name, "{{zone}}", d.zone, "{{seeds}}", strings.Join(seeds, ","), "{{bounds.grace-s}}", "8",
		"{{listen.front}}", d.callers, "{{listen.ready}}", d.ready, "{{listen.control}}", d.peers, "{{ip}}", d.ip,
		"{{platform.address}}", d.store, "{{limits.memory-mb}}", "284", "{{limits.cpu-share}}", "0.4", "{{limits.link-mbps}}", "1000",
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "52", "{{bounds.budget-window-s}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		panic("the template has placeholders that the case does not know")
	}
	return text
}

// launch starts the process of a daemon with the command of the deploy file.
func (r *run) launch(d *daemon) {
	must(os.WriteFile(d.settingsPath, []byte(r.settings(d)), 0o600))
	deploy, err := os.ReadFile("deploy/system.toml")
	must(err)
	command := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if command == nil {
		panic("the deploy file has no command")
	}
	words := strings.Fields(string(command[1]))
	for i := range words {
		words[i] = strings.NewReplacer("/etc/anvilcross/node.toml", d.settingsPath, "{{zones}}", regionTable, "{{platform.history-s}}", "20").Replace(words[i])
	}
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	d.command = exec.Command(words[0], words[1:]...)
	d.command.Stdout, d.command.Stderr = log, log
	must(d.command.Start())
	r.logf("daemon %s starts at %s, process %d", d.name, d.callers, d.command.Process.Pid)
	exited := make(chan struct{})
	d.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(d.command)
}

// waitReady waits until a daemon is ready.
func (r *run) waitReady(d *daemon) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + d.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic(d.name + " does not become ready")
}

// signal sends a signal to a daemon.
func (r *run) signal(d *daemon, s syscall.Signal) {
	r.logf("%v to daemon %s", s, d.name)
	must(d.command.Process.Signal(s))
}

// stopDaemons ends all processes of the run.
func (r *run) stopDaemons() {
	for _, d := range r.daemons {
		if d.command == nil || d.command.Process == nil {
			continue
		}
		_ = d.command.Process.Kill()
		<-d.exited
	}
}
