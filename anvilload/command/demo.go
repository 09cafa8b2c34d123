package command

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/anvilload/deployment"
	"anvilcross/anvilload/expect"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/spend"
)

// demo sends requests through every pipeline of a deployment and checks the
// answers.
type demo struct {
	Directory string `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Requests  int    `default:"40" help:"Requests for each pipeline."`
	Parallel  int    `default:"16" help:"Concurrent requests of a pipeline."`
}

const (
	requestTimeout     = time.Minute
	maxLatencyMillis   = 120_000 // highest latency that the histograms hold
	significantFigures = 3       // precision of the histograms
)

// pipelineResults aggregates the answers of one pipeline.
type pipelineResults struct {
	mutex         sync.Mutex
	outcomes      map[outcome.Outcome]int
	late          int
	latencyMillis *hdrhistogram.Histogram
	totalsByStage map[ident.Stage]*stageTotals
	problems      []string
}

// stageTotals aggregates the executions of one stage.
type stageTotals struct {
	count  int
	millis float64
	cost   spend.Cost
}

// Help is shown by anvilload demo --help.
func (demo) Help() string { return "Example: anvilload demo run/wroclaw --requests 40" }

// Run sends the requests, prints a table and fails if there are problems.
func (d *demo) Run(out io.Writer) error {
	target, err := deployment.OpenReady(d.Directory)
	if err != nil {
		return err
	}
	results := make([]*pipelineResults, len(target.Document.Pipelines))
	nonIdempotentByKey := map[ident.Key]bool{}
	for i := range target.Document.Pipelines {
		results[i] = newPipelineResults()
		for _, key := range d.runPipeline(target, &target.Document.Pipelines[i], results[i]) {
			nonIdempotentByKey[key] = !target.Document.Pipelines[i].Idempotent()
		}
	}
	printResults(out, target.Document, results)
	return reportProblems(out, target, results, nonIdempotentByKey)
}

func newPipelineResults() *pipelineResults {
	return &pipelineResults{outcomes: map[outcome.Outcome]int{}, latencyMillis: hdrhistogram.New(1, maxLatencyMillis, significantFigures), totalsByStage: map[ident.Stage]*stageTotals{}}
}

// runPipeline sends a pipeline's requests, at most Parallel at once, and
// returns their keys.
func (d *demo) runPipeline(target *deployment.Deployment, p *configuration.Pipeline, results *pipelineResults) []ident.Key {
	client := newClient(requestTimeout)
	var group sync.WaitGroup
	slots := make(chan struct{}, d.Parallel)
	keys := make([]ident.Key, d.Requests)
	for i := range d.Requests {
		w := target.Document.Workspaces[i%len(target.Document.Workspaces)]
		keys[i] = ident.Key{Workspace: w.Name, ID: ident.RequestID(uuid.NewString())}
		r := expect.Request{Key: keys[i], Pipeline: p, Body: fmt.Sprintf("For the %s, plate %d of %s.", w.Name, i, p.Name)}
		address := target.Instances[i%len(target.Instances)].CallerAddress
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			sendAndCheck(client, target.Document, address, r, results)
			<-slots
		}()
	}
	group.Wait()
	return keys
}

// sendAndCheck sends a streaming request, checks its answer and adds it to the
// results.
func sendAndCheck(client *http.Client, d *configuration.Document, address string, r expect.Request, results *pipelineResults) {
	start := time.Now()
	streamed := ""
	a, err := instance.Submit(client, address, "key-"+string(r.Key.Workspace), instance.Request{
		ID: r.Key.ID, Pipeline: r.Pipeline.Name, Body: r.Body, FirstSent: start, Stream: true,
	}, func(t string) { streamed += t })
	results.mutex.Lock()
	defer results.mutex.Unlock()
	if err != nil {
		results.problems = append(results.problems, err.Error())
		return
	}
	results.recordAnswer(a, time.Since(start))
	if a.Outcome != outcome.Whole {
		results.problems = append(results.problems, fmt.Sprintf("%s: %s (%s) %s", r.Key, a.Outcome, a.Reason, a.Detail))
		return
	}
	if problem := expect.FindMismatch(d, r, a); problem != "" {
		results.problems = append(results.problems, r.Key.String()+": "+problem)
	}
	if streamed != a.Text {
		results.problems = append(results.problems, fmt.Sprintf("%s: streamed text %q differs from the answer's text %q", r.Key, streamed, a.Text))
	}
}

func (r *pipelineResults) recordAnswer(a *outcome.Answer, took time.Duration) {
	r.outcomes[a.Outcome]++
	if a.Late {
		r.late++
	}
	_ = r.latencyMillis.RecordValue(took.Milliseconds())
	for _, s := range a.Stages {
		totals := r.totalsByStage[s.Stage]
		if totals == nil {
			totals = &stageTotals{}
			r.totalsByStage[s.Stage] = totals
		}
		totals.count++
		totals.millis += s.Millis
		totals.cost.Add(s.Cost)
	}
}

func printResults(out io.Writer, d *configuration.Document, results []*pipelineResults) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tWHOLE\tLATE\tNOT RUN\tLOST\tREFUSED\tP50 MS\tP99 MS\tCOST BY STAGE (endpoint ms/prompt+generated tokens/bytes between data centres, per request)\n", d.Deployment)
	for i, result := range results {
		p := &d.Pipelines[i]
		o := result.outcomes
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", p.Name, o[outcome.Whole], result.late, o[outcome.NotRun], o[outcome.Lost], o[outcome.Refused], result.latencyMillis.ValueAtQuantile(50), result.latencyMillis.ValueAtQuantile(99))
		for _, s := range p.Stages {
			if totals := result.totalsByStage[s.Name]; totals != nil {
				n := float64(totals.count)
				_, _ = fmt.Fprintf(table, "%s %.0f/%.0f+%.0f/%.0f  ", s.Name, totals.cost.EndpointMillis/n, float64(totals.cost.PromptTokens)/n, float64(totals.cost.GeneratedTokens)/n, float64(totals.cost.CrossDataCentreBytes)/n)
			}
		}
		_, _ = fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// reportProblems compares the recorded executions with the requests and prints
// all problems. A request of a non-idempotent pipeline must have been executed
// exactly once.
func reportProblems(out io.Writer, target *deployment.Deployment, results []*pipelineResults, nonIdempotentByKey map[ident.Key]bool) error {
	executions, err := target.ExecutionCounts()
	if err != nil {
		return err
	}
	var problems []string
	for _, result := range results {
		problems = append(problems, result.problems...)
	}
	nonIdempotentCount := 0
	for key, nonIdempotent := range nonIdempotentByKey {
		if !nonIdempotent {
			continue
		}
		nonIdempotentCount++
		if executions[key.String()] != 1 {
			problems = append(problems, fmt.Sprintf("%s was executed %d times instead of once", key, executions[key.String()]))
		}
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(out, "problem:", p)
	}
	_, _ = fmt.Fprintf(out, "deployment=%s requests=%d orders=%d problems=%d\n\n", target.Document.Deployment, len(nonIdempotentByKey), nonIdempotentCount, len(problems))
	if len(problems) > 0 {
		return errors.Errorf("found %d problems", len(problems))
	}
	return nil
}
