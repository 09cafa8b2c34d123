package settings

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"anvilcross/kernel/evacuation"
)

// platformFields are the fields of the settings that the platform has for each process, as its pages
// list them, tables and lists among them.
var platformFields = strings.Fields(`
	node-name role machine-class serves ip zone region internal-port-range seeds bootstrap fault-counted
	discovery entry heartbeat-ms contracts zones
	listen.front listen.ready listen.control
	limits.cpu-share limits.cores limits.memory-mb limits.max-fds limits.link-mbps limits.disk-mb
	fault-tolerance.machines fault-tolerance.zones fault-tolerance.regions
	bounds.seed-lag-s bounds.address-reuse-s bounds.contact-ms bounds.ack-ms bounds.catch-up-s
	bounds.drain-ms bounds.grace-s bounds.loss-slack-ms bounds.config-apply-ms bounds.rollback-slack-ms
	bounds.max-stretch-ms bounds.strict-revocation bounds.revoke-ms bounds.retry-budget-ratio
	bounds.budget-window-s bounds.retry-budget-slack bounds.recovery-s bounds.pass-ms bounds.reuse-window-s
	platform.address platform.form platform.writes-per-s platform.reads-per-s platform.history-s
	platform.value-bytes platform.min-ttl-ms`)

// templateFields are those of them that a stand-in of the platform has to fill in to start a daemon.
var templateFields = strings.Fields(`
	node-name zone seeds ip listen.front listen.ready listen.control platform.address
	limits.memory-mb limits.cpu-share limits.link-mbps
	bounds.grace-s bounds.retry-budget-ratio bounds.retry-budget-slack bounds.budget-window-s`)

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// readDeployFile returns a file of the deploy folder and the placeholders in it.
func readDeployFile(t *testing.T, name string) (text string, fields []string) {
	t.Helper()
	content, err := os.ReadFile("../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range placeholder.FindAllStringSubmatch(string(content), -1) {
		fields = append(fields, match[1])
	}
	return string(content), fields
}

// renderTemplate fills in the project's template as the platform does.
func renderTemplate(t *testing.T) string {
	t.Helper()
	text, _ := readDeployFile(t, "settings.ini")
	text = strings.NewReplacer("{{ip}}", "127.0.0.1", "{{bounds.grace-s}}", "8", "{{limits.memory-mb}}", "144", "{{limits.cpu-share}}", "0.2", "{{limits.link-mbps}}", "100", "{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "50", "{{bounds.budget-window-s}}", "10").Replace(text)
	return placeholder.ReplaceAllString(text, "127.0.0.1:1")
}

// The template has a field that the platform does not list, or one, a section for instance, that a
// stand-in of the platform with the plain fields cannot fill in.
func TestFieldsOfTheTemplate(t *testing.T) {
	_, fields := readDeployFile(t, "settings.ini")
	for _, field := range fields {
		if !slices.Contains(platformFields, field) || !slices.Contains(templateFields, field) {
			t.Errorf("the template has the field %q", field)
		}
	}
	if len(fields) < len(templateFields) {
		t.Errorf("the template has %d fields, want %d", len(fields), len(templateFields))
	}
	_, fields = readDeployFile(t, "system.toml")
	for _, field := range fields {
		if !slices.Contains(platformFields, field) {
			t.Errorf("the deploy file has the field %q", field)
		}
	}
}

// The regions of the platform's table do not arrive, or a deployment without the table has no
// valid settings.
func TestRegionsOfTheDeployFile(t *testing.T) {
	for text, want := range map[string]evacuation.Regions{
		"":                    {},
		"{}":                  {},
		`{"dolny-a":"eu"}`:    {"dolny-a": "eu"},
		`{"a":"eu","b":"us"}`: {"a": "eu", "b": "us"},
	} {
		s, err := ParseGateway([]byte(renderTemplate(t)), []string{"instance.regions=" + text})
		if err != nil {
			t.Fatal(err)
		}
		if !maps.Equal(s.Regions, want) {
			t.Errorf("%q: the regions are %v, want %v", text, s.Regions, want)
		}
	}
	for _, text := range []string{"eu", `{"a":7}`, `["a"]`, "{"} {
		if _, err := ParseGateway([]byte(renderTemplate(t)), []string{"instance.regions=" + text}); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// The free keys of one section hide unknown keys of others.
func TestUnknownKeysBesideRegions(t *testing.T) {
	text := renderTemplate(t) + "[regions]\ndolny-a = eu-west\nus.1 = us\n"
	if s, err := ParseGateway([]byte(text), nil); err != nil || !maps.Equal(s.Regions, evacuation.Regions{"dolny-a": "eu-west", "us.1": "us"}) {
		t.Errorf("got %+v and %v", s, err)
	}
	if _, err := ParseGateway([]byte(text+"[retries]\nrato = 1\n"), nil); err == nil || !strings.Contains(err.Error(), "[retries] rato: unknown key") {
		t.Errorf("got %v, want an unknown key", err)
	}
}
