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

// usage measures the processor time, memory and traffic of a deployment's
// daemons. They must run on this machine.
type usage struct {
	Directory string        `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Duration  time.Duration `default:"10s" help:"How long to measure."`
}

// Help is shown by anvilload usage --help.
func (usage) Help() string { return "Example: anvilload usage run/wroclaw --duration 10s" }

const (
	cpuTicksPerSecond = 100 // USER_HZ of Linux
	pageBytes         = 4096
	// Indexes of utime, stime and rss among the fields of /proc/PID/stat that
	// follow the closing parenthesis of the command.
	userTicksField     = 11
	systemTicksField   = 12
	residentPagesField = 21
)

// resourceUsage is the sum of what one or more processes use; times and traffic
// count from their start.
type resourceUsage struct {
	cpuTicks      int64
	residentPages int64
	privateKiB    int64
	sentPeerBytes float64
}

// Run measures for the duration and prints the averages of a daemon.
func (u *usage) Run(out io.Writer) error {
	target, err := deployment.OpenReady(u.Directory)
	if err != nil {
		return err
	}
	before, err := u.sumUsage(target)
	if err != nil {
		return err
	}
	readsBefore := fetchPlatformReads(target.PlatformAddress)
	time.Sleep(u.Duration)
	after, err := u.sumUsage(target)
	if err != nil {
		return err
	}
	daemons := float64(len(target.Instances))
	seconds := u.Duration.Seconds()
	_, err = fmt.Fprintf(out, "daemons=%d cpuPercent=%.3f privateMB=%.1f residentMB=%.1f peerKBps=%.3f platformReadsPerSecond=%.2f\n", len(target.Instances),
		100*float64(after.cpuTicks-before.cpuTicks)/cpuTicksPerSecond/seconds/daemons, float64(after.privateKiB)/1024/daemons, float64(after.residentPages)*pageBytes/(1<<20)/daemons,
		(after.sentPeerBytes-before.sentPeerBytes)/1024/seconds/daemons, float64(fetchPlatformReads(target.PlatformAddress)-readsBefore)/seconds)
	return errors.Trace(err)
}

// sumUsage sums the resource usage of all daemons.
func (u *usage) sumUsage(target *deployment.Deployment) (resourceUsage, error) {
	var sum resourceUsage
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
		sum.cpuTicks += parseInteger(fields[userTicksField]) + parseInteger(fields[systemTicksField])
		sum.residentPages += parseInteger(fields[residentPagesField])
		private, err := readPrivateKiB(strings.TrimSpace(string(pid)))
		if err != nil {
			return sum, err
		}
		sum.privateKiB += private
		sum.sentPeerBytes += fetchMetric(i.OperatorAddress, "anvilcross_peer_bytes")
	}
	return sum, nil
}

// readPrivateKiB returns the private memory of a process. It leaves out the pages
// of the program file, which the system shares and may drop at any time.
func readPrivateKiB(pid string) (int64, error) {
	status, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, errors.Trace(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return parseInteger(strings.Fields(value)[0]), nil
		}
	}
	return 0, errors.Errorf("/proc/%s/status has no RssAnon line", pid)
}

// parseInteger returns the number, or 0 if the text is none.
func parseInteger(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// fetchMetric reads one value from an instance's metrics. It returns 0 if the
// instance does not answer or does not have the metric.
func fetchMetric(address, name string) float64 {
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

// platformCounts is what the simulated platform counts.
type platformCounts struct {
	Reads int64 `json:"reads"`
}

// fetchPlatformReads returns the number of reads that the simulated platform
// has served, or 0 if it does not answer.
func fetchPlatformReads(address string) int64 {
	response, err := http.Get("http://" + address + "/counts")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var c platformCounts
	_ = json.NewDecoder(response.Body).Decode(&c)
	return c.Reads
}
