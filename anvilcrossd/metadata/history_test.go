package metadata

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilstandin/metadata"
	"anvilcross/kernel/replica"
	"anvilcross/platform"
)

// The history is read in part, with changes after the revision that was asked for, or by more calls
// than a search takes.
func TestReadHistory(t *testing.T) {
	cases := []struct {
		name                string
		dropped, kept, late int
		wantErr             error
		maxCalls            int
	}{
		{"all of it", 0, 20, 0, nil, 12},
		{"what is left of it", 300, 100, 5, nil, 18},
		{"nothing before the revision", 300, 0, 5, nil, 2},
		{"the revision is gone", 0, 10, -1, platform.ErrHistoryGone, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := metadata.NewStore()
			server := httptest.NewServer(store)
			defer server.Close()
			s := platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), RoundTrip: http.DefaultTransport.RoundTrip}
			put := func(count int) {
				for n := range count {
					store.Put(fmt.Sprint("servers/", n%7), []byte("{}"))
				}
			}
			put(c.dropped)
			if c.dropped > 0 {
				store.DropHistory()
			}
			put(c.kept)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, upTo, err := s.List(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if c.late < 0 {
				put(1)
				store.DropHistory()
			}
			put(max(c.late, 0))
			before := store.CallCount()
			changes, err := ReadHistory(ctx, s, upTo)
			if errors.Cause(err) != c.wantErr {
				t.Fatalf("got %v, want %v", err, c.wantErr)
			}
			if calls := store.CallCount() - before; calls > c.maxCalls {
				t.Errorf("%d calls, want %d at most", calls, c.maxCalls)
			}
			if c.wantErr == nil {
				wantChanges(t, changes, c.kept, upTo)
			}
		})
	}
}

// wantChanges checks that there are all of count changes up to a revision.
func wantChanges(t *testing.T, changes []replica.Change, count int, upTo replica.Revision) {
	t.Helper()
	if len(changes) != count {
		t.Fatalf("%d changes, want %d", len(changes), count)
	}
	for n, change := range changes {
		if want := upTo - replica.Revision(count-1-n); change.Revision != want {
			t.Fatalf("change %d has revision %v, want %v", n, change.Revision, want)
		}
	}
}
