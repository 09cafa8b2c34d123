package settings

import (
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
)

// renderTemplate fills in the project's template as the platform does.
func renderTemplate(t *testing.T, zones map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`).ReplaceAllStringFunc(string(template), func(section string) string {
		body := strings.TrimSuffix(strings.TrimPrefix(section, "{{#zones}}"), "{{/zones}}")
		rendered := ""
		for zone, region := range zones {
			rendered += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(body)
		}
		return rendered
	})
	text = strings.NewReplacer("{{ip}}", "127.0.0.1", "{{bounds.grace-s}}", "8", "{{limits.memory-mb}}", "144", "{{limits.cpu-share}}", "0.2", "{{limits.link-mbps}}", "100", "{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "50", "{{bounds.budget-window-s}}", "10").Replace(text)
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "127.0.0.1:1")
}

// The regions of the platform's table do not arrive, or a deployment without the table has no
// valid settings.
func TestRegionsOfTheTemplate(t *testing.T) {
	for _, zones := range []map[string]string{nil, {"dolny-a": "eu"}, {"dolny-a": "eu-west", "dolny-b": "eu-west", "us.1": "us"}} {
		s, err := ParseGateway([]byte(renderTemplate(t, zones)), nil)
		if err != nil {
			t.Fatal(err)
		}
		want := evacuation.Regions{}
		for zone, region := range zones {
			want[ident.DataCentre(zone)] = ident.Region(region)
		}
		if !maps.Equal(s.Regions, want) {
			t.Errorf("the regions are %v, want %v", s.Regions, want)
		}
	}
}

// The free keys of one section hide unknown keys of others.
func TestUnknownKeysBesideRegions(t *testing.T) {
	text := renderTemplate(t, nil) + "[retries]\nrato = 1\n"
	if _, err := ParseGateway([]byte(text), nil); err == nil || !strings.Contains(err.Error(), "[retries] rato: unknown key") {
		t.Errorf("got %v, want an unknown key", err)
	}
}
