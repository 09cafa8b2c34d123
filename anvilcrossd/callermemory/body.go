package callermemory

import (
	"io"

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
	if !h.Grow(int64(capacity)) {
		return false
	}
	grown := make([]byte, len(h.data), capacity)
	copy(grown, h.data)
	h.data = grown
	h.shrink(int64(before))
	return true
}

// isEnded reports whether the holding has been ended for the benefit of others.
func (h *Holding) isEnded() bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.ended
}
