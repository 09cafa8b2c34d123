package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"anvilcross/anvilcrossd/link"
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

// postSigned sends a body signed with key to a mesh whose key is "right". It
// returns the HTTP status and the number of messages received.
func postSigned(t *testing.T, key []byte, body []byte) (status, received int) {
	t.Helper()
	m := NewMesh(Config{SigningKey: []byte("right"), HandleMessage: func(message.Envelope) { received++ }})
	sender := NewMesh(Config{SigningKey: key})
	request := httptest.NewRequest(http.MethodPost, peerPath, bytes.NewReader(body))
	request.Header.Set(headerSignature, sender.sign(body))
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, request)
	return recorder.Code, received
}

func TestHandlerVerifiesSignature(t *testing.T) {
	body := []byte(`[{"from":"a","to":"b"}]`)
	if status, received := postSigned(t, []byte("right"), body); status != http.StatusNoContent || received != 1 {
		t.Errorf("a signed batch: status %d, %d messages", status, received)
	}
	if status, received := postSigned(t, []byte("wrong"), body); status != http.StatusForbidden || received != 0 {
		t.Errorf("a batch with another key: status %d, %d messages", status, received)
	}
	if status, received := postSigned(t, []byte("right"), []byte(`[{`)); status != http.StatusBadRequest || received != 0 {
		t.Errorf("a broken batch: status %d, %d messages", status, received)
	}
}

// A batch that the receiver rejects has not been delivered. The sender reports it
// with the reason.
func TestRejectedBatchIsReported(t *testing.T) {
	receiver := httptest.NewServer(NewMesh(Config{SigningKey: []byte("right"), HandleMessage: func(message.Envelope) {}}).Handler())
	defer receiver.Close()
	failures := make(chan string, 1)
	transport := link.NewTransport(link.Config{})
	sender := NewMesh(Config{
		SigningKey:      []byte("wrong"),
		LocalTransport:  transport,
		RemoteTransport: transport,
		OnSendFailure:   func(to ident.Instance, reason string) { failures <- string(to) + ": " + reason },
	})
	sender.SendToAddress(receiver.Listener.Addr().String(), message.Envelope{From: "a", To: "b"})
	select {
	case failure := <-failures:
		if !strings.HasPrefix(failure, "b: ") || !strings.Contains(failure, "wrong signature") {
			t.Fatalf("reported %q, want the receiver and the reason", failure)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the rejected batch was not reported")
	}
	if sender.DroppedMessages() != 1 {
		t.Fatalf("%d messages count as dropped, want 1", sender.DroppedMessages())
	}
}

// A batch counts as delivered because its response has a status that no instance sends.
func TestOddStatusesOfAPeerAreFailures(t *testing.T) {
	for _, status := range []string{"000", "099", "150", "201", "206", "302", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
			}()
			failed := make(chan string, 1)
			m := NewMesh(Config{DataCentre: "a", LocalTransport: link.NewTransport(link.Config{}), PostTimeout: time.Second, OnSendFailure: func(_ ident.Instance, reason string) { failed <- reason }})
			m.SendToAddress(listener.Addr().String(), message.Envelope{To: "b"})
			select {
			case reason := <-failed:
				t.Log(reason)
			case <-time.After(3 * time.Second):
				t.Fatal("the batch counts as delivered")
			}
		})
	}
}
