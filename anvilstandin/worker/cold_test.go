package worker

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A cold worker takes what a warm one takes, so that no run shows that it gets too much.
func TestColdWorkerCrashes(t *testing.T) {
	w := NewWorker(Config{Name: "orders-0", Recorder: NewRecorder()})
	server := httptest.NewServer(w)
	defer server.Close()
	send := func(path string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Expect-Instance", "orders-0")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	w.Chill(time.Hour, 2)
	for n := range 8 {
		if _, err := send("/lookup/"); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	if _, err := send("/lookup/"); err == nil || w.ColdCrashes() == 0 {
		t.Errorf("request 9 was served; %d crashes", w.ColdCrashes())
	}
	if r, err := send("/health"); err != nil || r.Header.Get("Cold-Ms") == "0" {
		t.Errorf("health: %v and %v", r, err)
	}
	w.Chill(0, 2)
	if _, err := send("/lookup/"); err != nil {
		t.Error(err)
	}
	if r, err := send("/health"); err != nil || r.Header.Get("Cold-Ms") != "0" {
		t.Errorf("health: %v and %v", r, err)
	}
}
