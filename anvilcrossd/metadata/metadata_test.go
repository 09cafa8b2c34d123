package metadata

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilcross/kernel/replica"
	"anvilcross/platform"
)

// An instance that reads only during outages must report each outage that it
// meets, though it saw no end of the one before.
func TestEveryOutageOfAnOccasionalReaderIsReported(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	var mutex sync.Mutex
	reads, outages := true, make(chan error, 8)
	setReads := func(v bool) {
		mutex.Lock()
		defer mutex.Unlock()
		reads = v
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	f := NewFollower(Config{
		Store:         platform.Store{Address: strings.TrimPrefix(refusing.URL, "http://"), RoundTrip: http.DefaultTransport.RoundTrip},
		OnFullList:    func([]replica.Record, replica.Revision) {},
		OnChanges:     func([]replica.Record, replica.Revision) {},
		OnUnavailable: func(err error) { outages <- err },
		OnAvailable:   func() {},
		IsReader: func() bool {
			mutex.Lock()
			defer mutex.Unlock()
			return reads
		},
		AsOf: func() replica.Revision { return 0 },
	})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	wantOutage := func() {
		t.Helper()
		select {
		case <-outages:
		case <-time.After(5 * time.Second):
			t.Fatal("no outage was reported")
		}
	}
	wantOutage()
	setReads(false)
	time.Sleep(maxRetryPause + 2*readerCheckPeriod)
	setReads(true)
	wantOutage()
	stop()
	<-done
}
