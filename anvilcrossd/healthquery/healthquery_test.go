package healthquery

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
)

// An answer of another endpoint, or none, says something of the endpoint that was asked, or an
// endpoint that never answers is waited for.
func TestQuery(t *testing.T) {
	p := ident.EndpointProcess{Endpoint: "models-1", StartedUnixMillis: 7}
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
		// notified is set if the answer says something of the endpoint.
		notified bool
		want     time.Duration
	}{
		{"cold", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Cold-Ms", "1500") }, true, 1500 * time.Millisecond},
		{"warm, in an error", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cold-Ms", "0")
			w.WriteHeader(http.StatusInternalServerError)
		}, true, 0},
		{"does not tell", func(http.ResponseWriter, *http.Request) {}, true, -1},
		{"malformed", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Cold-Ms", "soon") }, true, -1},
		{"another endpoint", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cold-Ms", "0")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, false, -1},
		{"never answers", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet || r.URL.Path != "/health" || r.Header.Get("Expect-Instance") != "models-1" {
					t.Errorf("got %s %s for %q", r.Method, r.URL.Path, r.Header.Get("Expect-Instance"))
				}
				c.serve(w, r)
			}))
			defer server.Close()
			var notices []endpoints.Notice
			client := NewClient(Config{
				HTTPClient: h1.NewClient(h1.Config{}),
				OnNotice: func(got ident.EndpointProcess, n endpoints.Notice, sentAgo time.Duration) {
					if got != p || sentAgo <= 0 {
						t.Errorf("notice of %v, sent %v ago", got, sentAgo)
					}
					notices = append(notices, n)
				},
				LogEvent: func(string, ...any) {},
			})
			err := client.query(p, server.Listener.Addr().String(), "/health")
			if (len(notices) == 1) != c.notified || !c.notified && err == nil {
				t.Fatalf("got %v and %v", notices, err)
			}
			if c.notified && (c.want < 0) != (notices[0].ColdFor == nil) || c.want >= 0 && *notices[0].ColdFor != c.want {
				t.Errorf("got %+v", notices[0])
			}
		})
	}
}
