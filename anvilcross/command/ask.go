package command

import (
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// ask sends one request and prints its answer.
type ask struct {
	Address  string         `required:"" help:"Callers' address of an instance, or of the load balancer."`
	Key      string         `required:"" help:"The workspace's key." env:"ANVILCROSS_KEY"`
	Pipeline ident.Pipeline `required:"" help:"Pipeline to run."`
	ID       string         `help:"Request id; a random one if left out. The same id gets the same answer."`
	Ticket   bool           `help:"Get a ticket and use it as the id."`
	Body     string         `arg:"" help:"The request's text."`
	JSON     bool           `help:"Print the answer as JSON."`
}

const askTimeout = time.Minute

// Help is shown by anvilcross ask --help.
func (ask) Help() string {
	return "Example: anvilcross ask --address 127.0.0.1:21001 --key key-szpitale --pipeline plaque \"For the children's ward\""
}

// Run sends the request. It fails unless the answer is whole.
func (a *ask) Run(out io.Writer) error {
	client := &http.Client{Timeout: askTimeout}
	id, err := a.requestID(client)
	if err != nil {
		return err
	}
	request := instance.Request{ID: id, Pipeline: a.Pipeline, Body: a.Body, FirstSent: time.Now(), Stream: !a.JSON, Resend: a.ID != ""}
	start := time.Now()
	answer, err := instance.Submit(client, a.Address, a.Key, request, func(t string) { _, _ = fmt.Fprint(out, t) })
	if err != nil {
		return errors.Annotatef(err, "no answer; ask again with --id %s", id)
	}
	if a.JSON {
		err = printJSON(out, answer)
	} else {
		err = printAnswer(out, answer, time.Since(start))
	}
	if err == nil && answer.Outcome != outcome.Whole {
		return &exitError{exitNotWhole, fmt.Sprintf("%s (%s) %s", answer.Outcome, answer.Reason, answer.Detail)}
	}
	return errors.Trace(err)
}

// requestID returns a ticket, the given id or a random one.
func (a *ask) requestID(client *http.Client) (ident.RequestID, error) {
	if a.Ticket {
		tickets, err := instance.RequestTickets(client, a.Address, a.Key, 1)
		if err != nil {
			return "", errors.Annotatef(err, "--ticket: cannot get a ticket from %s", a.Address)
		}
		if len(tickets) == 0 {
			return "", errors.Errorf("--ticket: %s returned no ticket", a.Address)
		}
		return tickets[0], nil
	}
	if a.ID != "" {
		return ident.RequestID(a.ID), nil
	}
	return ident.RequestID(uuid.NewString()), nil
}

func printAnswer(out io.Writer, a *outcome.Answer, took time.Duration) error {
	_, _ = fmt.Fprintf(out, "\n\n%s", a.Outcome)
	if a.Late {
		_, _ = fmt.Fprint(out, ", late")
	}
	_, _ = fmt.Fprintf(out, " after %d ms at %s, id %s\n", took.Milliseconds(), a.ServedBy, a.ID)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STAGE\tENDPOINT\tMS\tATTEMPTS\tENDPOINT MS\tPROMPT\tCACHED\tGENERATED\tCROSS BYTES\tOUTPUT")
	for _, s := range a.Stages {
		c := s.Cost
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%d\t%.1f\t%d\t%d\t%d\t%d\t%s\n", s.Stage, s.Endpoint, s.Millis, s.Attempts, c.EndpointMillis, c.PromptTokens, c.CachedTokens, c.GeneratedTokens, c.CrossDataCentreBytes, shorten(s.Output))
	}
	return errors.Trace(table.Flush())
}

// maxShownOutputBytes is the longest output that the table shows in full.
const maxShownOutputBytes = 44

// shorten cuts a text that is too long for the table.
func shorten(text string) string {
	if len(text) <= maxShownOutputBytes {
		return text
	}
	return text[:maxShownOutputBytes-1] + "…"
}
