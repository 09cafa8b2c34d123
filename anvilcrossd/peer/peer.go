// Package peer carries messages between instances as JSON batches in HTTP
// POSTs, signed with the deployment's peer key if there is one. Delivery is best
// effort; the kernel resends messages that need an answer.
package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/link"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

const (
	peerPath        = "/peer"
	headerSignature = "X-Signature"
	// maxBatchMessages bounds the messages in one POST.
	maxBatchMessages = 64
	// maxQueuedMessages bounds the messages that wait for one peer; further
	// ones are dropped and counted.
	maxQueuedMessages = 4096
	// maxPostsPerPeer bounds the POSTs in flight to one peer. With more than one,
	// messages need not wait for the response to the previous POST, so the delay
	// of a link limits their rate less.
	maxPostsPerPeer = 2
	maxBodyBytes    = 4 << 20
	// maxReasonBytes bounds the part of an error response that is kept for the log.
	maxReasonBytes = 200
	// defaultPostTimeout is meant for links with a delay of milliseconds.
	defaultPostTimeout = 2 * time.Second
)

// Config sets up a Mesh.
type Config struct {
	// SigningKey signs batches with HMAC-SHA256. If it is empty, batches are
	// neither signed nor verified.
	SigningKey []byte
	// DataCentre is the instance's own.
	DataCentre ident.DataCentre
	// LocalTransport reaches the peers of the same data centre, and
	// RemoteTransport those of the others.
	LocalTransport  *link.Transport
	RemoteTransport *link.Transport
	// HandleMessage is called for each received message.
	HandleMessage func(message.Envelope)
	// BuildReply returns the messages to send back in the response to a batch.
	// It is called after HandleMessage; nil if batches have no reply.
	BuildReply func([]message.Envelope) []message.Envelope
	// OnSendFailure is called when a batch could not be delivered; it may be
	// nil.
	OnSendFailure func(to ident.Instance, reason string)
	// ReadBody reads the body of a received batch of at most a number of bytes. The function
	// that it returns releases the body. If ReadBody is nil, nothing bounds the memory of all
	// bodies together or the time for reading one.
	ReadBody func(w http.ResponseWriter, r *http.Request, maxBytes int64) (body []byte, release func(), err error)
	// PostTimeout bounds one POST; zero means two seconds.
	PostTimeout time.Duration
}

// Address is where an instance listens for its peers.
type Address struct {
	DataCentre ident.DataCentre
	HostPort   string
}

// queue holds the messages that wait for one peer, and the number of POSTs in
// flight to it.
type queue struct {
	seat ident.Instance
	// address is empty if the address of the seat is looked up in the list.
	address       string
	waiting       []message.Envelope
	postsInFlight int
}

// Mesh sends messages to the other instances and receives theirs.
type Mesh struct {
	config          Config
	mutex           sync.Mutex
	addresses       map[ident.Instance]Address
	queuesBySeat    map[ident.Instance]*queue
	queuesByAddress map[string]*queue
	closed          bool
	dropped         atomic.Int64
	sentBytes       atomic.Int64
}

// NewMesh returns a mesh without addresses.
func NewMesh(c Config) *Mesh {
	if c.PostTimeout == 0 {
		c.PostTimeout = defaultPostTimeout
	}
	if c.ReadBody == nil {
		c.ReadBody = readBody
	}
	return &Mesh{
		queuesByAddress: map[string]*queue{},
		config:          c,
		addresses:       map[ident.Instance]Address{},
		queuesBySeat:    map[ident.Instance]*queue{},
	}
}

// UpdateAddresses adds or replaces the given addresses. An instance that is no
// longer listed keeps its last address, because the list may lag behind.
func (m *Mesh) UpdateAddresses(addresses map[ident.Instance]Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for instance, a := range addresses {
		m.addresses[instance] = a
	}
}

// DroppedMessages returns the number of messages that were dropped because a
// queue was full, the mesh was closed or their POST failed.
func (m *Mesh) DroppedMessages() int64 { return m.dropped.Load() }

// SentBytes returns the number of bytes in the bodies that were sent.
func (m *Mesh) SentBytes() int64 { return m.sentBytes.Load() }

// Close makes the mesh drop further messages. Queued ones may still be
// sent.
func (m *Mesh) Close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
}

// Send queues a message for the seat e.To, whose address must be known by the
// time it is sent. It does not block.
func (m *Mesh) Send(e message.Envelope) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	q := m.queuesBySeat[e.To]
	if q == nil {
		q = &queue{seat: e.To}
		m.queuesBySeat[e.To] = q
	}
	m.enqueue(q, e)
}

// SendToAddress queues a message for an address in the same data centre, whose
// instance need not be known. It does not block.
func (m *Mesh) SendToAddress(address string, e message.Envelope) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	q := m.queuesByAddress[address]
	if q == nil {
		q = &queue{address: address}
		m.queuesByAddress[address] = q
	}
	q.seat = e.To
	m.enqueue(q, e)
}

func (m *Mesh) enqueue(q *queue, e message.Envelope) {
	if m.closed || len(q.waiting) >= maxQueuedMessages {
		m.dropped.Add(1)
		return
	}
	q.waiting = append(q.waiting, e)
	if q.postsInFlight < maxPostsPerPeer {
		q.postsInFlight++
		go m.sendQueued(q)
	}
}

// sendQueued posts batches until the queue is empty. An idle peer then needs
// neither a goroutine nor a buffer.
func (m *Mesh) sendQueued(q *queue) {
	for {
		m.mutex.Lock()
		n := min(len(q.waiting), maxBatchMessages)
		if n == 0 {
			q.waiting = nil
			q.postsInFlight--
			m.mutex.Unlock()
			return
		}
		batch := q.waiting[:n:n]
		q.waiting = q.waiting[n:]
		m.mutex.Unlock()
		if err := m.postBatch(q, batch); err != nil {
			m.dropped.Add(int64(len(batch)))
			if m.config.OnSendFailure != nil {
				m.config.OnSendFailure(batch[0].To, err.Error())
			}
		}
	}
}

// addressOf returns the address of a queue's peer, and false if it is unknown.
func (m *Mesh) addressOf(q *queue) (Address, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if q.address != "" {
		return Address{DataCentre: m.config.DataCentre, HostPort: q.address}, true
	}
	a, known := m.addresses[q.seat]
	return a, known
}

func (m *Mesh) postBatch(q *queue, batch []message.Envelope) error {
	address, known := m.addressOf(q)
	if !known {
		return errors.New("no address")
	}
	body, err := json.Marshal(batch)
	if err != nil {
		panic("peer message cannot be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.config.PostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.HostPort+peerPath, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	if len(m.config.SigningKey) > 0 {
		request.Header.Set(headerSignature, m.sign(body))
	}
	m.sentBytes.Add(int64(len(body)))
	transport := m.config.LocalTransport
	if address.DataCentre != m.config.DataCentre {
		transport = m.config.RemoteTransport
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		return errors.Errorf("the peer rejected %d messages: %s: %s", len(batch), response.Status, bytes.TrimSpace(reason))
	}
	return errors.Trace(m.receiveReply(response))
}

// receiveReply handles the messages in the response to a batch.
func (m *Mesh) receiveReply(response *http.Response) error {
	if m.config.BuildReply == nil || response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
		return errors.Trace(err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return errors.Trace(err)
	}
	batch, err := DecodeBatch(body)
	if err != nil {
		return errors.Annotate(err, "reply of a peer")
	}
	for _, e := range batch {
		m.config.HandleMessage(e)
	}
	return nil
}

func (m *Mesh) sign(body []byte) string {
	h := hmac.New(sha256.New, m.config.SigningKey)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Handler returns the HTTP handler that receives batches.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerPath, m.handleBatch)
	return mux
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, func(), error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	return body, func() {}, err
}

func (m *Mesh) handleBatch(w http.ResponseWriter, r *http.Request) {
	body, release, err := m.config.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "body too large or cut off", http.StatusBadRequest)
		return
	}
	defer release()
	if len(m.config.SigningKey) > 0 && !hmac.Equal([]byte(m.sign(body)), []byte(r.Header.Get(headerSignature))) {
		http.Error(w, "wrong signature", http.StatusForbidden)
		return
	}
	batch, err := DecodeBatch(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.config.BuildReply == nil {
		w.WriteHeader(http.StatusNoContent)
	}
	for _, e := range batch {
		m.config.HandleMessage(e)
	}
	if m.config.BuildReply != nil {
		m.writeReply(w, batch)
	}
}

func (m *Mesh) writeReply(w http.ResponseWriter, batch []message.Envelope) {
	replies := m.config.BuildReply(batch)
	if len(replies) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := json.Marshal(replies)
	if err != nil {
		panic("peer message cannot be encoded: " + err.Error())
	}
	m.sentBytes.Add(int64(len(body)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// DecodeBatch parses a batch of messages.
func DecodeBatch(body []byte) ([]message.Envelope, error) {
	var batch []message.Envelope
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	return batch, nil
}
