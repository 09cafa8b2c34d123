package promptlist

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

// listAll asks an endpoint that serves all calls alike count times at once and returns what it
// said, nil for a failed call.
func listAll(t *testing.T, memory *replymemory.Pool, count int, serve http.HandlerFunc) []*origin.PromptList {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	listed := make(chan *origin.PromptList, count)
	c := NewClient(Config{
		HTTPClient: h1.NewClient(h1.Config{}),
		Memory:     memory,
		OnListed:   func(_ ident.Endpoint, l *origin.PromptList) { listed <- l },
		OnNotice:   func(string, endpoints.Notice, time.Duration) {},
		LogEvent:   func(string, ...any) {},
	})
	for n := range count {
		c.List(ident.Endpoint(fmt.Sprint(n)), server.Listener.Addr().String())
	}
	var lists []*origin.PromptList
	for range count {
		lists = append(lists, <-listed)
	}
	return lists
}

// Lists without an end of many endpoints take more memory than an instance has.
func TestListsWithoutAnEnd(t *testing.T) {
	const limit = 4 << 20
	memory := replymemory.NewPool(replymemory.Config{LimitBytes: limit})
	most := make(chan int64, 1)
	stop := make(chan struct{})
	go func() {
		var peak int64
		for {
			select {
			case <-stop:
				most <- peak
				return
			case <-time.After(time.Millisecond):
				peak = max(peak, memory.Used())
			}
		}
	}()
	lists := listAll(t, memory, 50, func(w http.ResponseWriter, r *http.Request) {
		_, err := w.Write([]byte(`{"held":[["","a",1,"m"]`))
		for err == nil && r.Context().Err() == nil {
			_, err = w.Write([]byte(`,["","a",1,"m"]`))
		}
	})
	close(stop)
	for _, l := range lists {
		if l != nil {
			t.Fatal("a list without an end was taken")
		}
	}
	if peak := <-most; peak == 0 || peak > limit {
		t.Errorf("%d bytes were held, want %d at most", peak, limit)
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes count as used after all calls", used)
	}
}

// A list within the limits is rejected, or does not tell which process gave it.
func TestList(t *testing.T) {
	memory := replymemory.NewPool(replymemory.Config{LimitBytes: 1 << 20})
	lists := listAll(t, memory, 1, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"held":[["","a",1,"m"]],"born":1700000000123}`))
	})
	if l := lists[0]; l == nil || len(l.Parts) != 1 || l.StartedUnixMillis != 1_700_000_000_123 {
		t.Fatalf("got %+v", l)
	}
}
