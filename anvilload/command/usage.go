package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilload/deployment"
)

// usage measures what the daemons of a deployment consume.
type usage struct {
	Directory string        `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Duration  time.Duration `default:"10s" help:"How long to measure."`
}

// Help is shown by anvilload usage --help.
func (usage) Help() string { return "Example: anvilload usage run/wroclaw --duration 10s" }

const (
	ticksPerSecond = 100
	pageBytes      = 4096
	// Fields of /proc/PID/stat after the command's closing parenthesis.
	userField     = 11
	systemField   = 12
	residentField = 21
)

// consumption is the state of one or more processes.
type consumption struct {
	ticks    int64
	resident int64
	private  int64
	sent     float64
}

// Run does the work of the verb.
func (u *usage) Run(out io.Writer) error {
	target, err := deployment.OpenReady(u.Directory)
	if err != nil {
		return err
	}
	before, err := u.sample(target)
	if err != nil {
		return err
	}
	readsBefore := platformReads(target.PlatformAddress)
	time.Sleep(u.Duration)
	after, err := u.sample(target)
	if err != nil {
		return err
	}
	n := float64(len(target.Instances))
	seconds := u.Duration.Seconds()
	_, err = fmt.Fprintf(out, "daemons=%d cpuPercent=%.3f privateMB=%.1f residentMB=%.1f peerKBps=%.3f platformReadsPerSecond=%.2f\n", len(target.Instances),
		100*float64(after.ticks-before.ticks)/ticksPerSecond/seconds/n, float64(after.private)/1024/n, float64(after.resident)*pageBytes/(1<<20)/n,
		(after.sent-before.sent)/1024/seconds/n, float64(platformReads(target.PlatformAddress)-readsBefore)/seconds)
	return errors.Trace(err)
}

// sample sums the daemons' consumption.
func (u *usage) sample(target *deployment.Deployment) (consumption, error) {
	var sum consumption
	for _, i := range target.Instances {
		pid, err := os.ReadFile(filepath.Join(u.Directory, string(i.Seat)+".pid"))
		if err != nil {
			return sum, errors.Trace(err)
		}
		stat, err := os.ReadFile("/proc/" + strings.TrimSpace(string(pid)) + "/stat")
		if err != nil {
			return sum, errors.Trace(err)
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		sum.ticks += number(fields[userField]) + number(fields[systemField])
		sum.resident += number(fields[residentField])
		private, err := privateKB(strings.TrimSpace(string(pid)))
		if err != nil {
			return sum, err
		}
		sum.private += private
		sum.sent += metric(i.OperatorAddress, "anvilcross_peer_bytes")
	}
	return sum, nil
}

// privateKB returns the memory that is a process's own. The pages of the
// program file, which the system shares and drops at will, are not in it.
func privateKB(pid string) (int64, error) {
	status, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, errors.Trace(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return number(strings.Fields(value)[0]), nil
		}
	}
	return 0, errors.Errorf("process %s shows no private memory", pid)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// metric reads one value from an instance's metrics.
func metric(address, name string) float64 {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			f, _ := strconv.ParseFloat(value, 64)
			return f
		}
	}
	return 0
}

type platformCounts struct {
	Reads int64 `json:"reads"`
}

func platformReads(address string) int64 {
	response, err := http.Get("http://" + address + "/counts")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var c platformCounts
	_ = json.NewDecoder(response.Body).Decode(&c)
	return c.Reads
}
