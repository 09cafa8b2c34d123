// Package peer carries messages between instances: HTTP POSTs of JSON batches,
// signed with the deployment's peer key. Delivery is best effort; the kernel
// repeats what needs an answer.
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
	path            = "/peer"
	headerSignature = "X-Signature"
	// maxBatch is the number of messages in one POST.
	maxBatch = 64
	// maxQueued bounds the messages that wait for one peer; further ones are
	// dropped and counted.
	maxQueued = 4096
	// maxPosts is the number of POSTs in flight to one peer, so that the
	// delay of a link does not limit the rate of messages.
	maxPosts     = 2
	maxBodyBytes = 4 << 20
	// defaultTimeout bounds a POST to a peer over a link of milliseconds.
	defaultTimeout = 2 * time.Second
)

// Config sets up a Mesh.
type Config struct {
	SigningKey      []byte
	DataCentre      ident.DataCentre
	LocalTransport  *link.Transport
	RemoteTransport *link.Transport
	// HandleMessage takes each message that arrives with a valid signature.
	HandleMessage func(message.Envelope)
	// BuildReply returns what goes back at once to the sender of a batch, after its
	// messages were received; it may be nil.
	BuildReply func([]message.Envelope) []message.Envelope
	// OnSendFailure is told of messages that could not be delivered; it may be nil.
	OnSendFailure func(to ident.Instance, reason string)
	// PostTimeout bounds one POST.
	PostTimeout time.Duration
}

// Address tells where an instance listens for its peers.
type Address struct {
	DataCentre ident.DataCentre
	HostPort   string
}

// queue holds what waits for one peer, and the number of POSTs in flight.
type queue struct {
	to      ident.Instance
	address string
	waiting []message.Envelope
	posts   int
}

// Mesh sends to and receives from the other instances.
type Mesh struct {
	config    Config
	mutex     sync.Mutex
	addresses map[ident.Instance]Address
	queues    map[ident.Instance]*queue
	byAddress map[string]*queue
	closed    bool
	dropped   atomic.Int64
	sentBytes atomic.Int64
}

// NewMesh returns a mesh that knows no address yet.
func NewMesh(c Config) *Mesh {
	if c.PostTimeout == 0 {
		c.PostTimeout = defaultTimeout
	}
	return &Mesh{
		byAddress: map[string]*queue{},
		config:    c,
		addresses: map[ident.Instance]Address{},
		queues:    map[ident.Instance]*queue{},
	}
}

// UpdateAddresses takes over the addresses of the instance list. An instance
// that the list does not name any more keeps its last address: the list lags.
func (m *Mesh) UpdateAddresses(addresses map[ident.Instance]Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for instance, a := range addresses {
		m.addresses[instance] = a
	}
}

// DroppedMessages returns the number of messages that could not be sent.
func (m *Mesh) DroppedMessages() int64 { return m.dropped.Load() }

// SentBytes returns the number of body bytes sent.
func (m *Mesh) SentBytes() int64 { return m.sentBytes.Load() }

// Close stops sending.
func (m *Mesh) Close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
}

// Send queues a message to a seat of the instance list. It does not block.
func (m *Mesh) Send(e message.Envelope) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	q := m.queues[e.To]
	if q == nil {
		q = &queue{to: e.To}
		m.queues[e.To] = q
	}
	m.enqueue(q, e)
}

// SendToAddress queues a message to an address, whose instance may not be known yet.
// It does not block.
func (m *Mesh) SendToAddress(address string, e message.Envelope) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	q := m.byAddress[address]
	if q == nil {
		q = &queue{address: address}
		m.byAddress[address] = q
	}
	q.to = e.To
	m.enqueue(q, e)
}

func (m *Mesh) enqueue(q *queue, e message.Envelope) {
	if m.closed || len(q.waiting) >= maxQueued {
		m.dropped.Add(1)
		return
	}
	q.waiting = append(q.waiting, e)
	if q.posts < maxPosts {
		q.posts++
		go m.drain(q)
	}
}

// drain posts batches until nothing waits, so that an idle peer costs no
// goroutine and no buffer.
func (m *Mesh) drain(q *queue) {
	for {
		m.mutex.Lock()
		n := min(len(q.waiting), maxBatch)
		if n == 0 {
			q.waiting = nil
			q.posts--
			m.mutex.Unlock()
			return
		}
		batch := q.waiting[:n:n]
		q.waiting = q.waiting[n:]
		m.mutex.Unlock()
		if err := m.post(q, batch); err != nil {
			m.dropped.Add(int64(len(batch)))
			if m.config.OnSendFailure != nil {
				m.config.OnSendFailure(batch[0].To, err.Error())
			}
		}
	}
}

// target returns the address of a queue's peer.
func (m *Mesh) target(q *queue) (Address, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if q.address != "" {
		return Address{DataCentre: m.config.DataCentre, HostPort: q.address}, true
	}
	a, known := m.addresses[q.to]
	return a, known
}

func (m *Mesh) post(q *queue, batch []message.Envelope) error {
	address, known := m.target(q)
	if !known {
		return errors.New("no address")
	}
	body, err := json.Marshal(batch)
	if err != nil {
		panic("peer message cannot be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.config.PostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.HostPort+path, bytes.NewReader(body))
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
	return errors.Trace(m.takeReply(response))
}

// takeReply receives what a peer answered a batch with.
func (m *Mesh) takeReply(response *http.Response) error {
	if m.config.BuildReply == nil || response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
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

// Handler receives batches.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, m.receive)
	return mux
}

func (m *Mesh) receive(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large or cut off", http.StatusBadRequest)
		return
	}
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
		m.reply(w, batch)
	}
}

func (m *Mesh) reply(w http.ResponseWriter, batch []message.Envelope) {
	answers := m.config.BuildReply(batch)
	if len(answers) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := json.Marshal(answers)
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
