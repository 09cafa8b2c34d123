package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one process of the system on a loopback address of its own.
type daemon struct {
	name, zone, ip  string
	front, ready    string
	control         string
	settings, log   string
	command         *exec.Cmd
	exited          chan error
	directory, root string
}

// freeIP returns a loopback address at which nothing listens on the ports of a daemon.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// Ports of a daemon; the metrics port stands in the template of the settings.
const (
	frontPort   = 8625
	readyPort   = 8621
	controlPort = 8628
	metricsPort = 7740
)

// newDaemons fills in the settings of daemons from the project's template.
func newDaemons(root, directory, storeAddress string, zones []string) ([]*daemon, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.ini"))
	if err != nil {
		return nil, err
	}
	var all []*daemon
	var seeds []string
	for n, zone := range zones {
		ip, err := freeIP()
		if err != nil {
			return nil, err
		}
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		name := fmt.Sprintf("front-%s-%d", zone, n+1)
		d := &daemon{name: name, zone: zone, ip: ip, front: at(frontPort), ready: at(readyPort), control: at(controlPort), root: root, directory: directory, settings: filepath.Join(directory, name+".ini"), log: filepath.Join(directory, name+".log")}
		all = append(all, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range all {
		text := strings.NewReplacer(
			"{{#zones}}\n{{@}} = {{.}}\n{{/zones}}\n", "",
			"{{node-name}}", d.name, "{{zone}}", d.zone, "{{seeds}}", strings.Join(seeds, ","),
			"{{listen.front}}", d.front, "{{listen.ready}}", d.ready, "{{listen.control}}", d.control,
			"{{ip}}", d.ip, "{{platform.address}}", storeAddress,
			"{{limits.memory-mb}}", "284", "{{limits.cpu-share}}", "0.4", "{{limits.link-mbps}}", "1000.0",
			"{{bounds.grace-s}}", "8", "{{bounds.retry-budget-ratio}}", "0.2",
			"{{bounds.retry-budget-slack}}", "52", "{{bounds.budget-window-s}}", "10",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			return nil, fmt.Errorf("the template of the settings has a field that the stand-in doesn't fill:\n%s", text)
		}
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// launch starts the daemon's process with the command of the deploy file.
func (d *daemon) launch() error {
	file, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(filepath.Join(d.root, "target/anvilcrossd"), "gateway", "--settings", d.settings)
	d.command.Dir = d.root
	d.command.Stdout, d.command.Stderr = file, file
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan error) {
		exited <- c.Wait()
		_ = file.Close()
	}(d.command, d.exited)
	return nil
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitReady(all []*daemon) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		ready := 0
		for _, d := range all {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return nil
		}
	}
	return fmt.Errorf("the daemons did not become ready")
}

// kill sends SIGKILL and waits for the end of the process.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.exited
	d.command = nil
}
