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

// chaos sends load at a steady rate while a script disturbs the daemons, and
// compares the answers with the executions that the endpoints recorded.
type chaos struct {
	Directory string        `arg:"" help:"Directory that anvilcross local wrote." type:"existingdir"`
	Duration  time.Duration `default:"20s" help:"How long to send."`
	Rate      int           `default:"60" help:"Requests a second."`
	Seed      uint64        `default:"1" help:"Seed of the order in which callers try the instances."`
	Tickets   bool          `help:"Use a ticket as the id of every second request."`
	Whole     bool          `help:"Fail unless every request was answered whole; graceful shutdowns must not break any."`
}

const (
	chaosRequestTimeout = 12 * time.Second
	chaosMaxAttempts    = 7
	// chaosFirstBackoff is the pause after the first attempt; it doubles with
	// each further one.
	chaosFirstBackoff = 100 * time.Millisecond
	// chaosSettleTime lets endpoints finish work that outlasts its request, so
	// that its execution is recorded before the check.
	chaosSettleTime = 2 * time.Second
)

// Help is shown by anvilload chaos --help.
func (chaos) Help() string {
	return "scripts/chaos.sh starts a deployment, runs this command, and kills, freezes or restarts daemons meanwhile.\n\nExample: anvilload chaos run/wroclaw --duration 20s --rate 60"
}

// requestRecord is one request, the number of times it was sent, and its answer.
// The list of answers is empty if no instance answered, else it has one element.
type requestRecord struct {
	request  expect.Request
	answers  []*outcome.Answer
	attempts int
}

// Run sends the requests and checks their answers.
func (c *chaos) Run(out io.Writer) error {
	target, err := deployment.OpenReady(c.Directory)
	if err != nil {
		return err
	}
	records := c.sendRequests(target)
	time.Sleep(chaosSettleTime)
	return c.checkAnswers(out, target, records)
}

// sendRequests starts a request at every tick, whether or not earlier ones are
// done, and returns when all are.
func (c *chaos) sendRequests(target *deployment.Deployment) []*requestRecord {
	client := newClient(chaosRequestTimeout)
	random := rand.New(rand.NewPCG(c.Seed, 1))
	var group sync.WaitGroup
	var records []*requestRecord
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	total := int(c.Duration.Seconds() * float64(c.Rate))
	for i := range total {
		<-ticker.C
		w := target.Document.Workspaces[i%len(target.Document.Workspaces)]
		p := &target.Document.Pipelines[i%len(target.Document.Pipelines)]
		r := &requestRecord{request: expect.Request{Key: ident.Key{Workspace: w.Name, ID: ident.RequestID(uuid.NewString())}, Pipeline: p, Body: fmt.Sprintf("Order %d of %s", i, w.Name)}}
		records = append(records, r)
		order := random.Perm(len(target.Instances))
		group.Add(1)
		go func() {
			defer group.Done()
			if c.Tickets && i%2 == 0 {
				r.takeTicket(client, target, order)
			}
			r.sendUntilAnswered(client, target, order)
		}()
	}
	group.Wait()
	return records
}

// takeTicket uses a ticket as the request's id. Without one the random id stays.
func (r *requestRecord) takeTicket(client *http.Client, target *deployment.Deployment, order []int) {
	tickets, err := instance.RequestTickets(client, target.Instances[order[0]].CallerAddress, "key-"+string(r.request.Key.Workspace), 1)
	if err == nil && len(tickets) == 1 {
		r.request.Key.ID = tickets[0]
	}
}

// sendUntilAnswered sends the request to one instance after the other until it
// is answered or the attempts are used up. A reply without an outcome does not
// count as an answer, nor does that of an instance that is not ready.
func (r *requestRecord) sendUntilAnswered(client *http.Client, target *deployment.Deployment, order []int) {
	firstSent := time.Now()
	for i := range chaosMaxAttempts {
		r.attempts++
		request := instance.Request{ID: r.request.Key.ID, Pipeline: r.request.Pipeline.Name, Body: r.request.Body, FirstSent: firstSent, Resend: i > 0}
		a, err := instance.Submit(client, target.Instances[order[i%len(order)]].CallerAddress, "key-"+string(r.request.Key.Workspace), request, nil)
		if err == nil && a.Outcome != "" && a.Reason != outcome.NotReady {
			r.answers = append(r.answers, a)
			return
		}
		time.Sleep(chaosFirstBackoff << i)
	}
}

// checkAnswers prints the violations and the totals. It fails if there is a
// violation or, with --whole, if a request was not answered whole.
func (c *chaos) checkAnswers(out io.Writer, target *deployment.Deployment, records []*requestRecord) error {
	executions, err := target.ExecutionCounts()
	if err != nil {
		return err
	}
	counts := map[outcome.Outcome]int{}
	violations, unanswered, resends := 0, 0, 0
	for _, r := range records {
		resends += r.attempts - 1
		if len(r.answers) == 0 {
			unanswered++
			continue
		}
		a := r.answers[0]
		counts[a.Outcome]++
		if violation := r.findViolation(target, executions[r.request.Key.String()]); violation != "" {
			violations++
			_, _ = fmt.Fprintf(out, "violation: %s %s: %s\n", r.request.Pipeline.Name, r.request.Key, violation)
		}
		if c.Whole && a.Outcome != outcome.Whole {
			_, _ = fmt.Fprintf(out, "not whole: %s %s: %s (%s) %s\n", r.request.Pipeline.Name, r.request.Key, a.Outcome, a.Reason, a.Detail)
		}
	}
	_, _ = fmt.Fprintf(out, "requests=%d whole=%d notRun=%d lost=%d refused=%d unanswered=%d resends=%d violations=%d seed=%d\n", len(records),
		counts[outcome.Whole], counts[outcome.NotRun], counts[outcome.Lost], counts[outcome.Refused], unanswered, resends, violations, c.Seed)
	switch {
	case violations > 0:
		return errors.Errorf("%d requests violate a guarantee", violations)
	case c.Whole && counts[outcome.Whole] != len(records):
		return errors.Errorf("--whole: %d requests were not answered whole", len(records)-counts[outcome.Whole])
	}
	return nil
}

// findViolation compares the answer with the expected content and with the number
// of recorded executions, which counts only services that run non-idempotent
// stages. It returns the first contradiction, or "".
func (r *requestRecord) findViolation(target *deployment.Deployment, executions int) string {
	a := r.answers[0]
	switch {
	case executions > 1:
		return fmt.Sprintf("was executed %d times", executions)
	case a.Outcome == outcome.Whole:
		if !r.request.Pipeline.Idempotent() && executions == 0 {
			return "answered whole without a recorded execution"
		}
		return expect.FindMismatch(target.Document, r.request, a)
	case a.Outcome != outcome.Lost && executions > 0:
		return fmt.Sprintf("answered %s, but was executed", a.Outcome)
	}
	return ""
}
