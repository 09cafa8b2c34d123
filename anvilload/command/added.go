package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/anvilload/deployment"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/stage"
)

// addedLatency measures the latency that the system adds: it runs the same
// stages directly and through the system, in turn.
type addedLatency struct {
	Directory string         `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Pipeline  ident.Pipeline `required:"" help:"Pipeline to measure."`
	Requests  int            `default:"300" help:"Requests to send directly, and as many through the system."`
}

// Help is shown by anvilload added --help.
func (addedLatency) Help() string { return "Example: anvilload added run/wroclaw --pipeline slot" }

// maxLatencyMicros is the highest latency that the histograms hold.
const maxLatencyMicros = 60_000_000

// Run sends the requests and prints the latencies' percentiles and ratios.
func (a *addedLatency) Run(out io.Writer) error {
	target, err := deployment.OpenReady(a.Directory)
	if err != nil {
		return err
	}
	p, err := target.Pipeline(a.Pipeline)
	if err != nil {
		return err
	}
	direct := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	through := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	client := &http.Client{Timeout: requestTimeout}
	for i := range a.Requests {
		body := fmt.Sprintf("request %d", i)
		start := time.Now()
		if err := callDirectly(client, target, p, target.Instances[0].DataCentre, body); err != nil {
			return err
		}
		_ = direct.RecordValue(time.Since(start).Microseconds())
		start = time.Now()
		w := target.Document.Workspaces[0].Name
		r := instance.Request{ID: ident.RequestID(uuid.NewString()), Pipeline: p.Name, Body: body, FirstSent: start}
		answer, err := instance.Submit(client, target.Instances[0].CallerAddress, "key-"+string(w), r, nil)
		if err != nil {
			return err
		}
		if answer.Outcome != outcome.Whole {
			return errors.Errorf("request through the system ended with outcome %s (%s)", answer.Outcome, answer.Reason)
		}
		_ = through.RecordValue(time.Since(start).Microseconds())
	}
	_, err = fmt.Fprintf(out, "pipeline=%s requests=%d directP50Ms=%.2f throughP50Ms=%.2f directP99Ms=%.2f throughP99Ms=%.2f ratioP50=%.3f ratioP99=%.3f\n", p.Name, a.Requests,
		percentileMillis(direct, 50), percentileMillis(through, 50), percentileMillis(direct, 99), percentileMillis(through, 99), percentileMillis(through, 50)/percentileMillis(direct, 50), percentileMillis(through, 99)/percentileMillis(direct, 99))
	return errors.Trace(err)
}

// percentileMillis returns a percentile, from 0 to 100, of a histogram of
// microseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// callDirectly runs a pipeline's stages one after the other, without the
// system, on endpoints of dc, or of another data centre if dc has none.
func callDirectly(client *http.Client, target *deployment.Deployment, p *configuration.Pipeline, dc ident.DataCentre, body string) error {
	var results []outcome.StageResult
	for _, s := range p.Stages {
		kind := stage.Lookup(target.Document.Service(s.Service).Kind)
		input := kind.BuildInput(stage.Input{Body: body, Results: results})
		address := ""
		for _, e := range target.Endpoints {
			if e.Service == s.Service && (address == "" || e.DataCentre == dc) {
				address = e.Address
			}
		}
		data, err := json.Marshal(map[string]any{
			"key": uuid.NewString(), "stage": s.Name, "input": input,
			"prompt": input, "max_tokens": s.MaxTokens, "stream": true,
		})
		if err != nil {
			return errors.Trace(err)
		}
		response, err := client.Post("http://"+address+kind.Path, "application/json", bytes.NewReader(data))
		if err != nil {
			return errors.Trace(err)
		}
		output, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return errors.Trace(err)
		}
		results = append(results, outcome.StageResult{Stage: s.Name, Output: string(output)})
	}
	return nil
}
