// Package configuration defines the accepted document that every instance
// serves by, its validation and its digest.
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

// MaxDocumentBytes is the largest value that the platform's service holds.
const MaxDocumentBytes = 1 << 20

// Millis is a duration in whole milliseconds, as documents write it.
type Millis int64

// Duration converts to the standard type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// LateAnswerPolicy says what happens to work that is past its deadline.
type LateAnswerPolicy string

// The late rules.
const (
	DeliverLate LateAnswerPolicy = "deliver"
	DropLate    LateAnswerPolicy = "drop"
)

// DuplicateCheck says what a service does with an id that it has seen.
type DuplicateCheck string

// The duplicate checks.
const (
	NoDuplicateCheck DuplicateCheck = "none"
	Deduplicate      DuplicateCheck = "dedupe"
)

// Document is one accepted configuration.
type Document struct {
	Deployment string                      `json:"deployment"`
	Revision   ident.ConfigurationRevision `json:"revision"`
	// PreviousDigest is the digest of the document that this one replaces.
	PreviousDigest string       `json:"previous,omitempty"`
	DataCentres    []DataCentre `json:"dataCentres"`
	Services       []Service    `json:"services"`
	Pipelines      []Pipeline   `json:"pipelines"`
	Workspaces     []Workspace  `json:"workspaces"`
	// ResendHorizonMillis bounds how long after its first sending a caller
	// may send a request again.
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
	Name           ident.Service  `json:"name"`
	Kind           string         `json:"kind"`
	Workers        int            `json:"workers"`
	Concurrency    int            `json:"concurrency"`
	DuplicateCheck DuplicateCheck `json:"duplicateCheck"`
	ChecksFencing  bool           `json:"checksFencing"`
	Model          string         `json:"model,omitempty"`
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name           ident.Pipeline   `json:"name"`
	DeadlineMillis Millis           `json:"deadlineMillis"`
	LateAnswer     LateAnswerPolicy `json:"lateAnswer"`
	// SharesAnswer makes a repeated body return the remembered answer.
	SharesAnswer bool    `json:"sameAnswer,omitempty"`
	Stages       []Stage `json:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name           ident.Stage   `json:"name"`
	Service        ident.Service `json:"service"`
	Idempotent     bool          `json:"idempotent"`
	ExpectedMillis Millis        `json:"expectedMillis"`
	MaxTokens      int           `json:"maxTokens,omitempty"`
}

// Workspace is a customer's area with its key and its share.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// KeyDigest is the SHA-256 of the access key, in hexadecimal.
	KeyDigest string `json:"keyDigest"`
	// Share is the workspace's weight when the fleet is short of capacity.
	Share int `json:"share"`
	// RatePerSecond is the fleet-wide limit of accepted requests.
	RatePerSecond float64 `json:"ratePerSecond"`
}

// Idempotent reports whether every stage may be repeated.
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

// KeyDigest returns the digest under which an access key is configured.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 of the document's canonical encoding.
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

// Decode parses and checks a published document. It returns the first
// problem as an error.
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

// Supersedes reports whether the document replaces another one. Two documents
// with the same revision come from two operators who accepted at once; the
// higher digest wins, so that every instance makes the same choice.
func (d *Document) Supersedes(other *Document) bool {
	if other == nil {
		return true
	}
	if d.Revision != other.Revision {
		return d.Revision > other.Revision
	}
	return d.Digest() > other.Digest()
}
