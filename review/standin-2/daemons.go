package main

import (
	"fmt"
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

// zones are the data centres of the case, all in one region.
var zones = []string{"dolny-a", "dolny-b", "dolny-c"}

// Ports of a daemon at its own loopback address.
const (
	frontPort   = 8625
	readyPort   = 8621
	controlPort = 8628
)

// daemon is a process of anvilcrossd, started as the deploy file says.
type daemon struct {
	name, ip, settings, log, binary string
	command                         *exec.Cmd
	exited                          chan struct{}
	// mutex guards startedAt and termAt, which tell when the daemon was started and when it got
	// a SIGTERM; termAt is zero if it has not.
	mutex             sync.Mutex
	startedAt, termAt time.Time
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, frontPort) }

// settingsText fills in the template of the settings as DEPLOY.md describes it.
func settingsText(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		inner := section.FindStringSubmatch(text)[1]
		all := ""
		for _, zone := range zones {
			all += strings.NewReplacer("{{@}}", zone, "{{.}}", "dolny").Replace(inner)
		}
		return all
	})
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(template, func(text string) string {
		return fields[strings.Trim(text, "{}")]
	})
}

// newDaemon writes the settings of daemon number n.
func newDaemon(root, directory string, n int, ips []string, storeAddress string) (*daemon, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	zone := zones[n%len(zones)]
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n), ip: ips[n], binary: filepath.Join(root, "target", "anvilcrossd")}
	d.settings, d.log = filepath.Join(directory, d.name+".ini"), filepath.Join(directory, d.name+".log")
	text := settingsText(string(template), map[string]string{
		"node-name": d.name, "zone": zone, "seeds": strings.Join(seeds, ","), "ip": d.ip,
		"listen.front": d.front(), "listen.ready": fmt.Sprintf("%s:%d", d.ip, readyPort), "listen.control": fmt.Sprintf("%s:%d", d.ip, controlPort),
		"platform.address": storeAddress, "limits.memory-mb": "284", "limits.cpu-share": "0.4", "limits.link-mbps": "1000.0",
		"bounds.grace-s": "8", "bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "52", "bounds.budget-window-s": "10",
	})
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(d.binary, "gateway", "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	d.setTimes(time.Now(), time.Time{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(d.command, d.exited)
	return nil
}

func (d *daemon) setTimes(startedAt, termAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.startedAt, d.termAt = startedAt, termAt
}

// stopping reports whether the daemon has got a SIGTERM.
func (d *daemon) stopping() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.termAt.IsZero()
}

// inTouch reports whether the daemon was in touch at a time: it had run for contact-ms, with no
// SIGTERM in it.
func (d *daemon) inTouch(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return at.Sub(d.startedAt) >= contactTime && (d.termAt.IsZero() || at.Before(d.termAt))
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// restart stops the daemon as the platform does, and starts it again.
func (d *daemon) restart() error {
	d.setTimes(d.startedAt, time.Now())
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(8 * time.Second):
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	time.Sleep(300 * time.Millisecond)
	return d.start()
}

func (d *daemon) kill() {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(syscall.SIGKILL)
		<-d.exited
	}
}

func (d *daemon) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", d.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) waitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", d.name)
}

// freeAddresses returns loopback addresses of a block in which nobody listens at the daemons' ports.
func freeAddresses(count int) ([]string, error) {
	for block := os.Getpid(); block < os.Getpid()+200; block++ {
		var ips []string
		free := true
		for n := range count {
			ip := fmt.Sprintf("127.%d.%d.%d", 10+block/200%200, 1+block%200, 1+n)
			for _, port := range []int{frontPort, readyPort, controlPort, 7740} {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
			ips = append(ips, ip)
		}
		if free {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}
