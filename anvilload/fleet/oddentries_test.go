package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
)

// Daemons end, or stop following the list of workers, because of an entry of another writer.
func TestOddEntriesOfTheWorkerList(t *testing.T) {
	r := startTestFleet(t, 2)
	entry := func(address string) string {
		return fmt.Sprintf(`{"service":"orders","address":%q,"zone":"zone-a","state":"ready","slots":900,"version":"v1","born":1}`, address)
	}
	for name, value := range map[string]string{
		"servers/odd-nested":  strings.Repeat("[", 200_000),
		"servers/odd-number":  `{"service":"orders","address":"127.0.0.1:9","zone":"zone-a","state":"ready","slots":1e400}`,
		"servers/odd-port":    entry("127.0.0.1:99999"),
		"servers/odd-no-port": entry("127.0.0.1:0"),
		"servers/odd-host":    entry("nowhere.invalid:80"),
		"servers/":            entry("127.0.0.1:9"),
		"servers/odd-bytes":   "\xff\x00",
		"odd":                 strings.Repeat("{", 1000),
	} {
		r.site.MetadataStore.Put(name, []byte(value))
	}
	time.Sleep(500 * time.Millisecond)
	for _, d := range r.fleet.Daemons {
		for range 10 {
			r.wantWhole(d, client.NewRequest("lookup"))
			r.wantWhole(d, client.NewRequest("order"))
		}
		select {
		case err := <-d.exited:
			t.Fatalf("%s has ended: %v", d.Name, err)
		default:
		}
	}
	r.site.Drain("orders-1")
	time.Sleep(drainTime)
	late := time.Now()
	for range 20 {
		for _, d := range r.fleet.Daemons {
			r.wantWhole(d, client.NewRequest("lookup"))
		}
	}
	r.wantNoneAfter("orders-1", late)
	r.wantNoProblems()
}
