package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

func (r *testFleet) setModelFaults(f worker.Faults) {
	for _, m := range r.site.ModelWorkers {
		m.SetFaults(f)
	}
}

// wantUnframed fails the test unless the answer has the text and ends only with its
// connection.
func wantUnframed(t *testing.T, reply client.Reply, text string) {
	t.Helper()
	if reply.Err != nil || reply.Status != http.StatusOK || reply.Framed || reply.Body != text {
		t.Fatalf("got status %d, error %v, framed %v, %d bytes; want %d bytes without a frame", reply.Status, reply.Err, reply.Framed, len(reply.Body), len(text))
	}
}

func wantVisiblyBroken(t *testing.T, reply client.Reply) {
	t.Helper()
	if reply.Err == nil {
		t.Fatalf("the answer looks complete: status %d, framed %v, %d bytes", reply.Status, reply.Framed, len(reply.Body))
	}
}

// firstEvents returns the first events of a request's stream.
func firstEvents(request client.Request, count int) string {
	text := ""
	for n := range count {
		text += worker.StreamEvent(request.ID, n+1)
	}
	return text
}

// An answer whose end its endpoint does not mark must not reach its caller with a mark.
func TestAnswersAreFramedAsTheirEndpointsFramedThem(t *testing.T) {
	r := startTestFleet(t, 1)
	d := r.fleet.Daemons[0]
	send := func(request client.Request) client.Reply {
		return client.Send(context.Background(), r.httpClient, d.CallerAddress, request)
	}
	for _, route := range []string{"draft", "verse"} {
		t.Run(route+" without an event", func(t *testing.T) {
			r.setModelFaults(worker.Faults{CloseDelimited: true, EndsEarly: true})
			defer r.setModelFaults(worker.Faults{})
			request := client.NewRequest(route)
			if reply := send(request); reply.Err != nil || reply.Status != http.StatusBadGateway {
				t.Fatalf("got status %d and error %v, want %d", reply.Status, reply.Err, http.StatusBadGateway)
			}
			if runs := r.site.Recorder.WorkersThatRan(request.ID); route == "verse" && len(runs) != 2 {
				t.Fatalf("ran %d times, want 2", len(runs))
			}
		})
		t.Run(route+" that ends between two events", func(t *testing.T) {
			r.setModelFaults(worker.Faults{CloseDelimited: true, EndsEarly: true, EndAfterEvents: 7})
			defer r.setModelFaults(worker.Faults{})
			request := client.NewRequest(route)
			wantUnframed(t, send(request), firstEvents(request, 7))
		})
		t.Run(route+" that is whole", func(t *testing.T) {
			r.setModelFaults(worker.Faults{CloseDelimited: true})
			defer r.setModelFaults(worker.Faults{})
			request := client.NewRequest(route)
			wantUnframed(t, send(request), firstEvents(request, request.EventCount))
		})
	}
	t.Run("a stream that goes on without a frame", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CutAfterEvents: 4, CloseDelimitedResumes: true, EndsEarly: true, EndAfterEvents: 2})
		defer r.setModelFaults(worker.Faults{})
		wantVisiblyBroken(t, send(client.NewRequest("verse")))
	})
	t.Run("an answer that is relayed at once", func(t *testing.T) {
		for _, w := range r.site.PlainWorkers {
			w.SetFaults(worker.Faults{CloseDelimited: true})
			defer w.SetFaults(worker.Faults{})
		}
		request := client.NewRequest("order")
		wantUnframed(t, send(request), client.ExpectedReply(request).Body)
	})
	t.Run("framed answers keep their frames", func(t *testing.T) {
		for _, route := range []string{"order", "lookup", "draft", "verse"} {
			if reply := send(client.NewRequest(route)); reply.Err != nil || !reply.Framed {
				t.Errorf("%s: framed %v, error %v", route, reply.Framed, reply.Err)
			}
		}
	})
	r.wantNoProblems()
}

// readOldAnswer sends a stream's request as a caller of HTTP/1.0 and reads the answer.
// begun is called once the first event has arrived.
func (r *testFleet) readOldAnswer(d *Daemon, request client.Request, begun func()) client.Reply {
	r.t.Helper()
	connection, err := net.Dial("tcp4", d.CallerAddress)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST /%s/item HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 8000\r\nModel: m\r\nToken-Count: 700,%d\r\nPieces: %s\r\nPiece-Key: %s\r\n\r\n",
		request.Route, site.Host, request.ID, request.APIKey, request.EventCount, request.PieceCounts, worker.PieceKey(request.ID))
	if _, err := io.WriteString(connection, head); err != nil {
		r.t.Fatal(err)
	}
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return client.Reply{Err: err}
	}
	body := bufio.NewReader(response.Body)
	first, err := body.ReadString('\n')
	begun()
	var rest []byte
	if err == nil {
		rest, err = io.ReadAll(body)
	}
	return client.Reply{Status: response.StatusCode, Body: first + string(rest), Err: err}
}

// An answer that ends with its connection must not look complete if that breaks off.
func TestBrokenOffAnswersWithoutAFrameEndInAReset(t *testing.T) {
	r := startTestFleet(t, 1)
	d := r.fleet.Daemons[0]
	t.Run("a caller of HTTP/1.0 gets a whole stream", func(t *testing.T) {
		request := client.NewRequest("draft")
		if reply := r.readOldAnswer(d, request, func() {}); reply.Err != nil || reply.Body != firstEvents(request, request.EventCount) {
			t.Fatalf("got %q and %v", reply.Body, reply.Err)
		}
	})
	t.Run("a stream to a caller of HTTP/1.0", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		wantVisiblyBroken(t, r.readOldAnswer(d, client.NewRequest("draft"), func() {}))
	})
	t.Run("a stream without a frame that breaks off inside an event", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CloseDelimited: true, CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		wantVisiblyBroken(t, client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest("draft")))
	})
	t.Run("a stream whose instance is killed", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CloseDelimited: true})
		defer r.setModelFaults(worker.Faults{})
		request := client.NewRequest("draft")
		request.EventCount = 1000
		reply := r.readOldAnswer(d, request, func() {
			if err := d.Kill(); err != nil {
				t.Error(err)
			}
		})
		if strings.Count(reply.Body, "data:") >= request.EventCount {
			t.Fatal("the stream was whole before the instance was killed")
		}
		wantVisiblyBroken(t, reply)
	})
}
