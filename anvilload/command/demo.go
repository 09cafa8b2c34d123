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

// demo shows a deployment at work.
type demo struct {
	Directory string `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Requests  int    `default:"40" help:"Requests for each pipeline."`
	Parallel  int    `default:"16" help:"Requests at once."`
}

const (
	requestLimit = time.Minute
	maxMillis    = 120_000
	significant  = 3
)

// demoRow collects the results of one pipeline.
type demoRow struct {
	mutex    sync.Mutex
	outcomes map[outcome.Outcome]int
	late     int
	millis   *hdrhistogram.Histogram
	stages   map[ident.Stage]*stageSum
	problems []string
}

type stageSum struct {
	count  int
	millis float64
	cost   spend.Cost
}

// Help is shown by anvilload demo --help.
func (demo) Help() string { return "Example: anvilload demo run/wroclaw --requests 40" }

// Run does the work of the verb.
func (d *demo) Run(out io.Writer) error {
	target, err := deployment.OpenReady(d.Directory)
	if err != nil {
		return err
	}
	rows := make([]*demoRow, len(target.Document.Pipelines))
	ids := map[ident.Key]bool{}
	for i := range target.Document.Pipelines {
		rows[i] = newDemoRow()
		for _, id := range d.runPipeline(target, &target.Document.Pipelines[i], rows[i]) {
			ids[id] = !target.Document.Pipelines[i].Idempotent()
		}
	}
	printDemo(out, target.Document, rows)
	return verdict(out, target, rows, ids)
}

func newDemoRow() *demoRow {
	return &demoRow{outcomes: map[outcome.Outcome]int{}, millis: hdrhistogram.New(1, maxMillis, significant), stages: map[ident.Stage]*stageSum{}}
}

// runPipeline sends a pipeline's requests and returns their keys.
func (d *demo) runPipeline(target *deployment.Deployment, p *configuration.Pipeline, row *demoRow) []ident.Key {
	client := newClient(requestLimit)
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
			one(client, target.Document, address, r, row)
			<-slots
		}()
	}
	group.Wait()
	return keys
}

// one sends a request and enters the result.
func one(client *http.Client, d *configuration.Document, address string, r expect.Request, row *demoRow) {
	start := time.Now()
	streamed := ""
	a, err := instance.Submit(client, address, "key-"+string(r.Key.Workspace), instance.Request{
		ID: r.Key.ID, Pipeline: r.Pipeline.Name, Body: r.Body, FirstSent: start, Stream: true,
	}, func(t string) { streamed += t })
	row.mutex.Lock()
	defer row.mutex.Unlock()
	if err != nil {
		row.problems = append(row.problems, err.Error())
		return
	}
	row.add(a, time.Since(start))
	if a.Outcome != outcome.Whole {
		row.problems = append(row.problems, fmt.Sprintf("%s: %s (%s) %s", r.Key, a.Outcome, a.Reason, a.Detail))
		return
	}
	if problem := expect.FindMismatch(d, r, a); problem != "" {
		row.problems = append(row.problems, r.Key.String()+": "+problem)
	}
	if streamed != a.Text {
		row.problems = append(row.problems, fmt.Sprintf("%s: streamed %q, answered %q", r.Key, streamed, a.Text))
	}
}

func (r *demoRow) add(a *outcome.Answer, took time.Duration) {
	r.outcomes[a.Outcome]++
	if a.Late {
		r.late++
	}
	_ = r.millis.RecordValue(took.Milliseconds())
	for _, s := range a.Stages {
		sum := r.stages[s.Stage]
		if sum == nil {
			sum = &stageSum{}
			r.stages[s.Stage] = sum
		}
		sum.count++
		sum.millis += s.Millis
		sum.cost.Add(s.Cost)
	}
}

func printDemo(out io.Writer, d *configuration.Document, rows []*demoRow) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tWHOLE\tLATE\tNOT RUN\tLOST\tREFUSED\tP50 MS\tP99 MS\tCOST BY STAGE (endpoint ms, tokens prompt+generated, cross bytes per request)\n", d.Deployment)
	for i, row := range rows {
		p := &d.Pipelines[i]
		o := row.outcomes
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", p.Name, o[outcome.Whole], row.late, o[outcome.NotRun], o[outcome.Lost], o[outcome.Refused], row.millis.ValueAtQuantile(50), row.millis.ValueAtQuantile(99))
		for _, s := range p.Stages {
			if sum := row.stages[s.Name]; sum != nil {
				n := float64(sum.count)
				_, _ = fmt.Fprintf(table, "%s %.0f/%.0f+%.0f/%.0f  ", s.Name, sum.cost.EndpointMillis/n, float64(sum.cost.PromptTokens)/n, float64(sum.cost.GeneratedTokens)/n, float64(sum.cost.CrossDataCentreBytes)/n)
			}
		}
		_, _ = fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// verdict compares the books with the answers.
func verdict(out io.Writer, target *deployment.Deployment, rows []*demoRow, ids map[ident.Key]bool) error {
	runs, err := target.ExecutionCounts()
	if err != nil {
		return err
	}
	var problems []string
	for _, row := range rows {
		problems = append(problems, row.problems...)
	}
	orders := 0
	for key, once := range ids {
		if !once {
			continue
		}
		orders++
		if runs[key.String()] != 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", key, runs[key.String()]))
		}
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(out, "problem:", p)
	}
	_, _ = fmt.Fprintf(out, "deployment=%s requests=%d orders=%d problems=%d\n\n", target.Document.Deployment, len(ids), orders, len(problems))
	if len(problems) > 0 {
		return errors.Errorf("%d problems", len(problems))
	}
	return nil
}
