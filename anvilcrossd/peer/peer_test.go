package peer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

func FuzzDecode(f *testing.F) {
	batch := []message.Envelope{{From: "a", To: "b", Claim: &claim.Request{Key: ident.Key{Workspace: "w", ID: "1"}}}}
	data, err := json.Marshal(batch)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := DecodeBatch(body)
		if err != nil {
			return
		}
		if _, err := json.Marshal(decoded); err != nil {
			t.Errorf("a decoded batch cannot be encoded: %v", err)
		}
	})
}

// post sends a body with a signature and returns the status and what arrived.
func post(t *testing.T, key []byte, body []byte) (status, received int) {
	t.Helper()
	m := NewMesh(Config{SigningKey: []byte("right"), HandleMessage: func(message.Envelope) { received++ }})
	sender := NewMesh(Config{SigningKey: key})
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	request.Header.Set(headerSignature, sender.sign(body))
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, request)
	return recorder.Code, received
}

func TestReceiveChecksTheSignature(t *testing.T) {
	body := []byte(`[{"from":"a","to":"b"}]`)
	if status, received := post(t, []byte("right"), body); status != http.StatusNoContent || received != 1 {
		t.Errorf("a signed batch: status %d, %d messages", status, received)
	}
	if status, received := post(t, []byte("wrong"), body); status != http.StatusForbidden || received != 0 {
		t.Errorf("a batch with another key: status %d, %d messages", status, received)
	}
	if status, received := post(t, []byte("right"), []byte(`[{`)); status != http.StatusBadRequest || received != 0 {
		t.Errorf("a broken batch: status %d, %d messages", status, received)
	}
}
