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

// load sends open-loop Poisson arrivals to one pipeline and measures
// attainment and cost. Latency counts from the moment at which a request was
// due, so that a slow sender hides nothing.
type load struct {
	Directory string         `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Pipeline  ident.Pipeline `default:"draft" help:"Pipeline to send to."`
	Rate      float64        `default:"50" help:"Requests a second."`
	Duration  time.Duration  `default:"6s" help:"How long to send."`
	Seed      uint64         `default:"1" help:"Seed of the arrivals."`
	Flood     float64        `default:"1" help:"Factor on the first workspace's share of the requests."`
	Fault     string         `help:"Fault of one endpoint in the pipeline's last service, as the stand-in takes it, e.g. {\"slow\":10}."`
	Label     string         `help:"Word to print in front."`
}

// loadSum collects the answers.
type loadSum struct {
	mutex   sync.Mutex
	sent    int
	inTime  int
	whole   int
	refused int
	cost    spend.Cost
	millis  *hdrhistogram.Histogram
	sentBy  map[ident.Workspace]int
	metBy   map[ident.Workspace]int
}

// Help is shown by anvilload load --help.
func (load) Help() string { return "Example: anvilload load run/wroclaw --pipeline draft --rate 100" }

// Run does the work of the verb.
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
		if err := breakEndpoint(target, p.Stages[len(p.Stages)-1].Service, l.Fault); err != nil {
			return err
		}
	}
	before := retries(target)
	sum := l.send(target, p.DeadlineMillis.Duration())
	return l.print(out, sum, retries(target)-before)
}

// breakEndpoint switches a fault on at the first endpoint of a service.
func breakEndpoint(target *deployment.Deployment, service ident.Service, fault string) error {
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
			return errors.Errorf("the stand-in refused the fault: %s", response.Status)
		}
		return nil
	}
	return errors.Errorf("service %q has no endpoint", service)
}

func retries(target *deployment.Deployment) int64 {
	total := int64(0)
	for _, i := range target.Instances {
		if s, err := instance.FetchStatus(i.OperatorAddress); err == nil {
			total += s.Counters.Retries
		}
	}
	return total
}

func (l *load) send(target *deployment.Deployment, deadline time.Duration) *loadSum {
	sum := &loadSum{millis: hdrhistogram.New(1, maxMillis, significant), sentBy: map[ident.Workspace]int{}, metBy: map[ident.Workspace]int{}}
	client := newClient(requestLimit)
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var group sync.WaitGroup
	due := time.Now()
	end := due.Add(l.Duration)
	for i := 0; due.Before(end); i++ {
		time.Sleep(time.Until(due))
		w := l.workspace(target, random)
		address := target.Instances[random.IntN(len(target.Instances))].CallerAddress
		r := instance.Request{ID: ident.RequestID(uuid.NewString()), Pipeline: l.Pipeline, Body: fmt.Sprintf("%s draft number %d", w, i), FirstSent: due}
		start := due
		group.Add(1)
		go func() {
			defer group.Done()
			a, err := instance.Submit(client, address, "key-"+string(w), r, nil)
			sum.add(w, a, err, time.Since(start), deadline)
		}()
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	group.Wait()
	return sum
}

// workspace draws by share; the first one may flood.
func (l *load) workspace(target *deployment.Deployment, random *rand.Rand) ident.Workspace {
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

func (s *loadSum) add(w ident.Workspace, a *outcome.Answer, err error, took, deadline time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
	s.sentBy[w]++
	if err != nil {
		return
	}
	s.cost.Add(a.Cost)
	switch a.Outcome {
	case outcome.Whole:
		s.whole++
		_ = s.millis.RecordValue(took.Milliseconds())
		if took <= deadline {
			s.inTime++
			s.metBy[w]++
		}
	case outcome.Refused:
		s.refused++
	}
}

func (l *load) print(out io.Writer, s *loadSum, retried int64) error {
	worst := 1.0
	for w, n := range s.sentBy {
		worst = min(worst, float64(s.metBy[w])/float64(n))
	}
	whole := float64(max(s.whole, 1))
	label := strings.TrimSpace(l.Label + " ")
	_, err := fmt.Fprintf(out, "%s rate=%g sent=%d attainment=%.4f wholePerSecond=%.1f refused=%d p50Ms=%d p99Ms=%d endpointMsPerWhole=%.1f crossBytesPerWhole=%.1f retriesPerRequest=%.4f worstWorkspace=%.4f\n",
		label, l.Rate, s.sent, float64(s.inTime)/float64(max(s.sent, 1)), float64(s.inTime)/l.Duration.Seconds(), s.refused,
		s.millis.ValueAtQuantile(50), s.millis.ValueAtQuantile(99), s.cost.EndpointMillis/whole, float64(s.cost.CrossDataCentreBytes)/whole,
		float64(retried)/float64(max(s.sent, 1)), worst)
	return errors.Trace(err)
}
