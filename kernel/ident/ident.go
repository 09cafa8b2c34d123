// Package ident defines the named types for the identities and counters that
// the whole system shares, so that an instance can never be passed where an
// endpoint is meant.
package ident

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Instance names the seat of one entry instance. A replaced machine starts
// again under the same seat name with another Incarnation.
type Instance string

// Incarnation distinguishes the successive processes of one seat. Zero means
// unknown.
type Incarnation uint64

// Epoch counts the registrations of a seat's claim memory. It only grows.
type Epoch uint64

// DataCentre names a failure domain with its own instances and endpoints.
type DataCentre string

// Workspace names a customer's separate area.
type Workspace string

// Service names a group of interchangeable endpoints.
type Service string

// Endpoint names one back end of a service.
type Endpoint string

// Pipeline names a configured sequence of stages.
type Pipeline string

// Stage names one step of a pipeline.
type Stage string

// RequestID is the identity that the caller gave its request, or a ticket.
type RequestID string

// CallID identifies one call from one process to an endpoint.
type CallID uint64

// WaiterID identifies one caller's connection that waits for an answer.
type WaiterID uint64

// ConfigurationRevision numbers accepted configurations. It only grows.
type ConfigurationRevision uint64

// Digest is the 64-bit hash of a request's pipeline and body.
type Digest uint64

// Key identifies a request in the fleet: ids are scoped by workspace.
type Key struct {
	Workspace Workspace `json:"workspace"`
	ID        RequestID `json:"id"`
}

// String returns the key as workspace/id.
func (k Key) String() string { return string(k.Workspace) + "/" + string(k.ID) }

// NewDigest hashes the parts of a request that make it the same request when
// it is sent again: the pipeline and the body.
func NewDigest(pipeline Pipeline, body string) Digest {
	d := xxhash.New()
	_, _ = d.WriteString(string(pipeline))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(body)
	return Digest(d.Sum64())
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// HashPair ranks a candidate for a key by rendezvous hashing: the candidate with
// the highest score is the first choice.
func HashPair(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
