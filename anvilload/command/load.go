package command

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/anvilload/deployment"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/spend"
)

// load sends open-loop Poisson arrivals to one pipeline and measures cost and
// attainment, the share of requests that are answered whole within their
// deadline. Latency counts from the moment at which a request was due, so that
// a delayed sender does not hide it.
type load struct {
	Directory string         `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Pipeline  ident.Pipeline `default:"draft" help:"Pipeline to send to."`
	Rate      float64        `default:"50" help:"Requests a second."`
	Duration  time.Duration  `default:"6s" help:"How long to send."`
	Seed      uint64         `default:"1" help:"Seed of the arrivals."`
	Flood     float64        `default:"1" help:"Factor on the first workspace's share of the requests."`
	Fault     string         `help:"Fault to inject into the first endpoint of the pipeline's last service, as the simulated endpoint's JSON, e.g. {\"slow\":10}."`
	Label     string         `help:"Text to print before the figures."`
}

// loadResults aggregates the answers. Answers in time are whole ones that came
// within their deadline.
type loadResults struct {
	mutex             sync.Mutex
	sent              int
	inTime            int
	whole             int
	refused           int
	cost              spend.Cost
	latencyMillis     *hdrhistogram.Histogram
	sentByWorkspace   map[ident.Workspace]int
	inTimeByWorkspace map[ident.Workspace]int
}

// Help is shown by anvilload load --help.
func (load) Help() string { return "Example: anvilload load run/wroclaw --pipeline draft --rate 100" }

// Run sends the load and prints the summary.
func (l *load) Run(out io.Writer) error {
	target, err := deployment.OpenReady(l.Directory)
	if err != nil {
		return err
	}
	p, err := target.Pipeline(l.Pipeline)
	if err != nil {
		return err
	}
	if l.Fault != "" {
		if err := injectFault(target, p.Stages[len(p.Stages)-1].Service, l.Fault); err != nil {
			return err
		}
	}
	retriesBefore := countRetries(target)
	results := l.sendRequests(target, p.DeadlineMillis.Duration())
	return l.printSummary(out, results, countRetries(target)-retriesBefore)
}

// injectFault injects a fault into the first endpoint of a service.
func injectFault(target *deployment.Deployment, service ident.Service, fault string) error {
	for _, e := range target.Endpoints {
		if e.Service != service {
			continue
		}
		response, err := http.Post("http://"+e.Address+"/fault", "application/json", bytes.NewReader([]byte(fault)))
		if err != nil {
			return errors.Trace(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNoContent {
			return errors.Errorf("--fault: the simulated endpoint rejected the fault with status %s", response.Status)
		}
		return nil
	}
	return errors.Errorf("--fault: service %q has no endpoint", service)
}

// countRetries sums the retries of all instances that answer.
func countRetries(target *deployment.Deployment) int64 {
	total := int64(0)
	for _, i := range target.Instances {
		if s, err := instance.FetchStatus(i.OperatorAddress); err == nil {
			total += s.Counters.Retries
		}
	}
	return total
}

// sendRequests sends requests for the duration, with exponentially distributed
// gaps, and waits for all answers.
func (l *load) sendRequests(target *deployment.Deployment, deadline time.Duration) *loadResults {
	results := &loadResults{latencyMillis: hdrhistogram.New(1, maxLatencyMillis, significantFigures), sentByWorkspace: map[ident.Workspace]int{}, inTimeByWorkspace: map[ident.Workspace]int{}}
	client := newClient(requestTimeout)
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var group sync.WaitGroup
	due := time.Now()
	end := due.Add(l.Duration)
	for i := 0; due.Before(end); i++ {
		time.Sleep(time.Until(due))
		w := l.drawWorkspace(target, random)
		address := target.Instances[random.IntN(len(target.Instances))].CallerAddress
		r := instance.Request{ID: ident.RequestID(uuid.NewString()), Pipeline: l.Pipeline, Body: fmt.Sprintf("%s draft number %d", w, i), FirstSent: due}
		start := due
		group.Add(1)
		go func() {
			defer group.Done()
			a, err := instance.Submit(client, address, "key-"+string(w), r, nil)
			results.recordAnswer(w, a, err, time.Since(start), deadline)
		}()
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	group.Wait()
	return results
}

// drawWorkspace draws a workspace by its share; the first one's is multiplied by
// Flood.
func (l *load) drawWorkspace(target *deployment.Deployment, random *rand.Rand) ident.Workspace {
	total := 0.0
	weight := func(i int) float64 {
		w := float64(target.Document.Workspaces[i].Share)
		if i == 0 {
			w *= l.Flood
		}
		return w
	}
	for i := range target.Document.Workspaces {
		total += weight(i)
	}
	drawn := random.Float64() * total
	for i := range target.Document.Workspaces {
		drawn -= weight(i)
		if drawn < 0 {
			return target.Document.Workspaces[i].Name
		}
	}
	return target.Document.Workspaces[0].Name
}

// recordAnswer counts a request and its answer. A request without an answer
// counts as sent only.
func (r *loadResults) recordAnswer(w ident.Workspace, a *outcome.Answer, err error, took, deadline time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent++
	r.sentByWorkspace[w]++
	if err != nil {
		return
	}
	r.cost.Add(a.Cost)
	switch a.Outcome {
	case outcome.Whole:
		r.whole++
		_ = r.latencyMillis.RecordValue(took.Milliseconds())
		if took <= deadline {
			r.inTime++
			r.inTimeByWorkspace[w]++
		}
	case outcome.Refused:
		r.refused++
	}
}

// printSummary prints the label and the figures as name=value pairs on one line.
// Like attainment, wholePerSecond counts only answers in time. worstWorkspace is
// the lowest attainment of a workspace.
func (l *load) printSummary(out io.Writer, results *loadResults, retries int64) error {
	worstAttainment := 1.0
	for w, n := range results.sentByWorkspace {
		worstAttainment = min(worstAttainment, float64(results.inTimeByWorkspace[w])/float64(n))
	}
	whole := float64(max(results.whole, 1))
	label := strings.TrimSpace(l.Label + " ")
	_, err := fmt.Fprintf(out, "%s rate=%g sent=%d attainment=%.4f wholePerSecond=%.1f refused=%d p50Ms=%d p99Ms=%d endpointMsPerWhole=%.1f crossBytesPerWhole=%.1f retriesPerRequest=%.4f worstWorkspace=%.4f\n",
		label, l.Rate, results.sent, float64(results.inTime)/float64(max(results.sent, 1)), float64(results.inTime)/l.Duration.Seconds(), results.refused,
		results.latencyMillis.ValueAtQuantile(50), results.latencyMillis.ValueAtQuantile(99), results.cost.EndpointMillis/whole, float64(results.cost.CrossDataCentreBytes)/whole,
		float64(retries)/float64(max(results.sent, 1)), worstAttainment)
	return errors.Trace(err)
}
