// Package configuration defines the configuration document that all instances
// run by: its encoding, its validation, its digest and the differences between
// two revisions.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

// MaxDocumentBytes is the largest value that the platform's configuration service
// stores.
const MaxDocumentBytes = 1 << 20

// Millis is a duration in whole milliseconds, the unit of most durations in the
// document.
type Millis int64

// Duration returns the duration in the standard type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// LateAnswerPolicy says what happens to a request that is past its deadline.
type LateAnswerPolicy string

// The policies for late answers.
const (
	// DeliverLate lets the request finish and delivers its answer late.
	DeliverLate LateAnswerPolicy = "deliver"
	// DropLate aborts the request at its deadline.
	DropLate LateAnswerPolicy = "drop"
)

// DuplicateCheck says what a service does with a call whose id it has seen.
type DuplicateCheck string

// The duplicate checks.
const (
	// NoDuplicateCheck services may run a repeated call again.
	NoDuplicateCheck DuplicateCheck = "none"
	// Deduplicate services run a call once, so that it may be repeated safely.
	Deduplicate DuplicateCheck = "dedupe"
)

// Document is one revision of a deployment's configuration.
type Document struct {
	Deployment string                      `json:"deployment"`
	Revision   ident.ConfigurationRevision `json:"revision"`
	// PreviousDigest is the digest of the document that this one replaces.
	PreviousDigest string       `json:"previous,omitempty"`
	DataCentres    []DataCentre `json:"dataCentres"`
	Services       []Service    `json:"services"`
	Pipelines      []Pipeline   `json:"pipelines"`
	Workspaces     []Workspace  `json:"workspaces"`
	// ResendHorizonMillis bounds how long after first sending a request a
	// caller may send it again.
	ResendHorizonMillis Millis `json:"resendHorizonMillis"`
	// ClockSkewMillis bounds the difference between any two clocks.
	ClockSkewMillis Millis `json:"clockSkewMillis"`
	// CrossDataCentreDelayMillis is the one-way delay between data centres.
	CrossDataCentreDelayMillis float64 `json:"crossDataCentreMillis"`
}

// DataCentre lists the seats of the entry instances in one data centre.
type DataCentre struct {
	Name  ident.DataCentre `json:"name"`
	Seats []ident.Instance `json:"seats"`
}

// Service describes a group of interchangeable endpoints.
type Service struct {
	Name ident.Service `json:"name"`
	// Kind names one of the kinds that are registered in package stage.
	Kind string `json:"kind"`
	// Workers is the number of endpoints.
	Workers int `json:"workers"`
	// Concurrency is the number of calls that one endpoint runs at once.
	Concurrency    int            `json:"concurrency"`
	DuplicateCheck DuplicateCheck `json:"duplicateCheck"`
	// ChecksFencing is kept in the document, but no code reads it.
	ChecksFencing bool `json:"checksFencing"`
	// Model is the model name that calls to an engine carry.
	Model string `json:"model,omitempty"`
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name           ident.Pipeline   `json:"name"`
	DeadlineMillis Millis           `json:"deadlineMillis"`
	LateAnswer     LateAnswerPolicy `json:"lateAnswer"`
	// SharesAnswer makes requests with equal bodies get one shared answer.
	SharesAnswer bool    `json:"sameAnswer,omitempty"`
	Stages       []Stage `json:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name    ident.Stage   `json:"name"`
	Service ident.Service `json:"service"`
	// Idempotent stages may run more than once for a request.
	Idempotent bool `json:"idempotent"`
	// ExpectedMillis is the usual time of a call.
	ExpectedMillis Millis `json:"expectedMillis"`
	MaxTokens      int    `json:"maxTokens,omitempty"`
}

// Workspace is a customer's scope of request ids, with a key, a rate and a
// share.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// KeyDigest is the SHA-256 of the access key, in hexadecimal.
	KeyDigest string `json:"keyDigest"`
	// Share is the workspace's weight when the fleet's capacity is short.
	Share int `json:"share"`
	// RatePerSecond limits the accepted requests of the whole fleet.
	RatePerSecond float64 `json:"ratePerSecond"`
}

// Idempotent reports whether every stage of the pipeline is idempotent.
func (p *Pipeline) Idempotent() bool {
	return !slices.ContainsFunc(p.Stages, func(s Stage) bool { return !s.Idempotent })
}

// Pipeline returns the named pipeline, or nil.
func (d *Document) Pipeline(name ident.Pipeline) *Pipeline {
	for i := range d.Pipelines {
		if d.Pipelines[i].Name == name {
			return &d.Pipelines[i]
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (d *Document) Service(name ident.Service) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Workspace returns the named workspace, or nil.
func (d *Document) Workspace(name ident.Workspace) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// Seats returns all seats in document order.
func (d *Document) Seats() []ident.Instance {
	var seats []ident.Instance
	for _, dc := range d.DataCentres {
		seats = append(seats, dc.Seats...)
	}
	return seats
}

// SeatDataCentre returns the data centre of a seat, or "" for an unknown one.
func (d *Document) SeatDataCentre(seat ident.Instance) ident.DataCentre {
	for _, dc := range d.DataCentres {
		if slices.Contains(dc.Seats, seat) {
			return dc.Name
		}
	}
	return ""
}

// KeyDigest returns the SHA-256 of an access key in hexadecimal, as Workspace
// holds it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 of the document's canonical encoding, in
// hexadecimal.
func (d *Document) Digest() string {
	sum := sha256.Sum256(d.Encode())
	return hex.EncodeToString(sum[:])
}

// Encode returns the canonical JSON encoding.
func (d *Document) Encode() []byte {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("configuration document cannot be encoded: %v", err))
	}
	return append(data, '\n')
}

// Decode parses and validates a published document. The error names the first
// problem.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("document has %d bytes; the limit is %d", len(data), MaxDocumentBytes)
	}
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("document is not valid JSON: %w", err)
	}
	if problems := d.Validate(); len(problems) > 0 {
		return nil, fmt.Errorf("document is invalid: %s", problems[0])
	}
	return d, nil
}

// Supersedes reports whether the document replaces another one, which may be
// nil. Two operators who accept documents at the same time give them the same
// revision; the higher digest wins, so that all instances choose the same one.
func (d *Document) Supersedes(other *Document) bool {
	if other == nil {
		return true
	}
	if d.Revision != other.Revision {
		return d.Revision > other.Revision
	}
	return d.Digest() > other.Digest()
}
