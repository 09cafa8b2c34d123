// Package ident defines named types for the identities and counters that the
// whole system shares, so that the compiler rejects an instance's name where an
// endpoint's is expected.
package ident

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Instance names the seat of one entry instance: the stable name under which
// one process at a time runs. A replacement takes over the seat with another
// Incarnation.
type Instance string

// Incarnation identifies one of the successive processes of a seat. Zero means
// unknown.
type Incarnation uint64

// Epoch numbers the registrations of a seat's voter (see claim.Registration). It
// only grows.
type Epoch uint64

// DataCentre names a failure domain with its own instances and endpoints.
type DataCentre string

// Region names a group of data centres, to which requests may be restricted.
type Region string

// Workspace names a customer's scope of request ids, with its own key, rate and
// share.
type Workspace string

// Service names a group of interchangeable endpoints.
type Service string

// Endpoint names one back end of a service.
type Endpoint string

// Pipeline names a configured sequence of stages.
type Pipeline string

// Stage names one step of a pipeline.
type Stage string

// RequestID is the id that the caller chose for its request, or a ticket.
type RequestID string

// CallID identifies one call from one process to an endpoint.
type CallID uint64

// WaiterID identifies one connection of a caller that waits for an answer.
type WaiterID uint64

// ConfigurationRevision numbers the accepted configurations. It only grows.
type ConfigurationRevision uint64

// Digest is the 64-bit hash of a request's pipeline and body.
type Digest uint64

// Key identifies a request across all instances: ids are scoped by workspace.
type Key struct {
	Workspace Workspace `json:"workspace"`
	ID        RequestID `json:"id"`
}

// String returns the key as workspace/id.
func (k Key) String() string { return string(k.Workspace) + "/" + string(k.ID) }

// NewDigest returns the hash of a pipeline and a body. A request that is sent
// again has to have the same digest.
func NewDigest(pipeline Pipeline, body string) Digest {
	d := xxhash.New()
	_, _ = d.WriteString(string(pipeline))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(body)
	return Digest(d.Sum64())
}

// NewBytesDigest returns the digest that NewDigest returns for the same body, without a copy of it.
func NewBytesDigest(pipeline Pipeline, body []byte) Digest {
	d := xxhash.New()
	_, _ = d.WriteString(string(pipeline))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Digest(d.Sum64())
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// HashPair returns a 64-bit hash of two strings. Rendezvous hashing uses it to
// rank candidates by the hash of a key and the candidate's name.
func HashPair(first, second string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(first)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(second)
	return d.Sum64()
}

// PromptPart identifies a part of a prompt that requests may share, as callers name it.
type PromptPart string

// SoftwareVersion is a version of an endpoint's software.
type SoftwareVersion string

// EndpointProcess identifies one of the successive processes of an endpoint by its start
// time, in milliseconds since the Unix epoch.
type EndpointProcess struct {
	Endpoint          Endpoint
	StartedUnixMillis int64
}

// Compare orders processes by endpoint and start time.
func (p EndpointProcess) Compare(o EndpointProcess) int {
	return cmp.Or(cmp.Compare(p.Endpoint, o.Endpoint), cmp.Compare(p.StartedUnixMillis, o.StartedUnixMillis))
}
