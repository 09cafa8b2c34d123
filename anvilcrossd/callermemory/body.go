package callermemory

import (
	"io"
	"math/bits"
	"sync"

	"github.com/juju/errors"
)

// minCapacity is the capacity at which the buffer of a body starts.
const minCapacity = 4 << 10

// UnknownLength is the length of a body that is not announced.
const UnknownLength = -1

// Data returns what Read has read. It must not be used after Release.
func (h *Holding) Data() []byte { return h.data }

// Read reads a body to its end. length is the announced length or UnknownLength. The cause of the
// error is ErrRefused if the account has no room for the body.
func (h *Holding) Read(body io.Reader, length int64) error {
	if length > 0 && !h.account.Fits(length) {
		return errors.Trace(ErrRefused)
	}
	unrecorded := 0
	for {
		if len(h.data) == cap(h.data) && !h.growBuffer(length) {
			return errors.Trace(ErrRefused)
		}
		n, err := body.Read(h.data[len(h.data):cap(h.data)])
		h.data = h.data[:len(h.data)+n]
		if unrecorded += n; unrecorded >= progressBytes {
			h.recordProgress()
			unrecorded = 0
		}
		switch {
		case err == io.EOF && h.complete():
			return nil
		case err == io.EOF || err != nil && h.isEnded():
			return errors.Trace(ErrRefused)
		case err != nil:
			return errors.Trace(err)
		}
	}
}

// growBuffer doubles the capacity of the buffer, but not beyond an announced length. Both buffers
// count while one is copied to the other.
func (h *Holding) growBuffer(length int64) bool {
	before := cap(h.data)
	capacity := max(2*before, minCapacity)
	if length > int64(before) {
		capacity = int(min(int64(capacity), length))
	}
	if !h.GrowWaiting(int64(capacity)) {
		return false
	}
	grown := newBuffer(capacity)[:len(h.data)]
	copy(grown, h.data)
	reuse(h.data)
	h.data = grown
	h.shrink(int64(before))
	return true
}

// spareBuffers has outgrown buffers by the logarithm of their capacity. Without them, bodies that grow
// leave as much garbage as they take. The buffers of whole bodies are not reused: an upload that an
// endpoint does not wait for may still read them.
var spareBuffers [maxSpareLog + 1]sync.Pool

const (
	// minSpareLog and maxSpareLog bound the capacity of spare buffers: 16 KiB to 4 MiB.
	minSpareLog = 14
	maxSpareLog = 22
)

// spareLog returns the place of a capacity in spareBuffers; ok is false if it has none.
func spareLog(capacity int) (log int, ok bool) {
	log = bits.Len(uint(capacity)) - 1
	return log, capacity == 1<<max(log, 0) && log >= minSpareLog && log <= maxSpareLog
}

// newBuffer returns an empty buffer.
func newBuffer(capacity int) []byte {
	if log, ok := spareLog(capacity); ok {
		if spare, found := spareBuffers[log].Get().(*[]byte); found {
			return (*spare)[:0]
		}
	}
	return make([]byte, 0, capacity)
}

// reuse keeps a buffer that is not used any more.
func reuse(buffer []byte) {
	if log, ok := spareLog(cap(buffer)); ok {
		spareBuffers[log].Put(&buffer)
	}
}

// isEnded reports whether the holding has been ended for the benefit of others.
func (h *Holding) isEnded() bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.ended
}
