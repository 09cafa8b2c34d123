package command

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/anvilload/deployment"
	"anvilcross/anvilload/expect"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// chaos sends steady load while somebody breaks things, and compares what
// callers were told with the endpoints' books.
type chaos struct {
	Directory string        `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Duration  time.Duration `default:"20s" help:"How long to send."`
	Rate      int           `default:"60" help:"Requests a second."`
	Seed      uint64        `default:"1" help:"Seed of the callers' choices."`
	Tickets   bool          `help:"Use tickets for every second request."`
	Whole     bool          `help:"Fail unless every request was answered whole, as a planned stop must allow."`
}

const (
	chaosTimeout = 12 * time.Second
	chaosResends = 7
	chaosPause   = 100 * time.Millisecond
	settleTime   = 2 * time.Second
)

// Help is shown by anvilload chaos --help.
func (chaos) Help() string {
	return "scripts/chaos.sh starts a deployment, runs this and kills, freezes and replaces daemons meanwhile.\n\nExample: anvilload chaos run/wroclaw --duration 20s --rate 60"
}

// sent is one request and everything its caller was told.
type sent struct {
	request  expect.Request
	told     []*outcome.Answer
	attempts int
}

// Run does the work of the verb.
func (c *chaos) Run(out io.Writer) error {
	target, err := deployment.OpenReady(c.Directory)
	if err != nil {
		return err
	}
	all := c.send(target)
	time.Sleep(settleTime)
	return c.judge(out, target, all)
}

// send starts a request at every tick, whether or not earlier ones are done.
func (c *chaos) send(target *deployment.Deployment) []*sent {
	client := newClient(chaosTimeout)
	random := rand.New(rand.NewPCG(c.Seed, 1))
	var group sync.WaitGroup
	var all []*sent
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	total := int(c.Duration.Seconds() * float64(c.Rate))
	for i := range total {
		<-ticker.C
		w := target.Document.Workspaces[i%len(target.Document.Workspaces)]
		p := &target.Document.Pipelines[i%len(target.Document.Pipelines)]
		s := &sent{request: expect.Request{Key: ident.Key{Workspace: w.Name, ID: ident.RequestID(uuid.NewString())}, Pipeline: p, Body: fmt.Sprintf("Order %d of %s", i, w.Name)}}
		all = append(all, s)
		order := random.Perm(len(target.Instances))
		group.Add(1)
		go func() {
			defer group.Done()
			if c.Tickets && i%2 == 0 {
				s.takeTicket(client, target, order)
			}
			s.deliver(client, target, order)
		}()
	}
	group.Wait()
	return all
}

func (s *sent) takeTicket(client *http.Client, target *deployment.Deployment, order []int) {
	tickets, err := instance.RequestTickets(client, target.Instances[order[0]].CallerAddress, "key-"+string(s.request.Key.Workspace), 1)
	if err == nil && len(tickets) == 1 {
		s.request.Key.ID = tickets[0]
	}
}

// deliver sends until there is an answer, at another instance each time.
func (s *sent) deliver(client *http.Client, target *deployment.Deployment, order []int) {
	first := time.Now()
	for i := range chaosResends {
		s.attempts++
		r := instance.Request{ID: s.request.Key.ID, Pipeline: s.request.Pipeline.Name, Body: s.request.Body, FirstSent: first, Resend: i > 0}
		a, err := instance.Submit(client, target.Instances[order[i%len(order)]].CallerAddress, "key-"+string(s.request.Key.Workspace), r, nil)
		if err == nil && a.Outcome != "" && a.Reason != outcome.NotReady {
			s.told = append(s.told, a)
			return
		}
		time.Sleep(chaosPause << i)
	}
}

func (c *chaos) judge(out io.Writer, target *deployment.Deployment, all []*sent) error {
	runs, err := target.ExecutionCounts()
	if err != nil {
		return err
	}
	counts := map[outcome.Outcome]int{}
	violations, unanswered, resends := 0, 0, 0
	for _, s := range all {
		resends += s.attempts - 1
		if len(s.told) == 0 {
			unanswered++
			continue
		}
		a := s.told[0]
		counts[a.Outcome]++
		if problem := s.problem(target, runs[s.request.Key.String()]); problem != "" {
			violations++
			_, _ = fmt.Fprintf(out, "violation: %s %s: %s\n", s.request.Pipeline.Name, s.request.Key, problem)
		}
		if c.Whole && a.Outcome != outcome.Whole {
			_, _ = fmt.Fprintf(out, "not whole: %s %s: %s (%s) %s\n", s.request.Pipeline.Name, s.request.Key, a.Outcome, a.Reason, a.Detail)
		}
	}
	_, _ = fmt.Fprintf(out, "requests=%d whole=%d notRun=%d lost=%d refused=%d unanswered=%d resends=%d violations=%d seed=%d\n", len(all),
		counts[outcome.Whole], counts[outcome.NotRun], counts[outcome.Lost], counts[outcome.Refused], unanswered, resends, violations, c.Seed)
	switch {
	case violations > 0:
		return errors.Errorf("%d violations", violations)
	case c.Whole && counts[outcome.Whole] != len(all):
		return errors.Errorf("%d requests were not answered whole", len(all)-counts[outcome.Whole])
	}
	return nil
}

// problem compares the answer with the books.
func (s *sent) problem(target *deployment.Deployment, runs int) string {
	a := s.told[0]
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case a.Outcome == outcome.Whole:
		if !s.request.Pipeline.Idempotent() && runs == 0 {
			return "told whole and not in the books"
		}
		return expect.FindMismatch(target.Document, s.request, a)
	case a.Outcome != outcome.Lost && runs > 0:
		return fmt.Sprintf("told %s and ran", a.Outcome)
	}
	return ""
}
