package settings

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const validText = `[instance]
seat = a-1
dataCentre = a
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:2
peer = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[keys]
ticket = 00112233445566778899aabbccddeeff
peer = 00112233445566778899aabbccddeeff
`

// expectProblems checks that parsing fails with an error that contains all
// given texts.
func expectProblems(t *testing.T, text string, overrides []string, want ...string) {
	t.Helper()
	_, err := Parse([]byte(text), overrides)
	if err == nil {
		t.Fatal("the settings were accepted")
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("the error %q does not say %q", err, w)
		}
	}
}

func TestParse(t *testing.T) {
	t.Run("good settings with an override", func(t *testing.T) {
		s, err := Parse([]byte(validText), []string{"log.level=debug", "limits.maxInFlight=7"})
		if err != nil {
			t.Fatal(err)
		}
		if s.LogLevel != "debug" || s.Bounds.MaxInFlight != 7 || s.Seat != "a-1" {
			t.Errorf("settings are %+v", s)
		}
	})
	t.Run("all mistakes at once", func(t *testing.T) {
		expectProblems(t, validText, []string{"log.level=loud", "link.crossLoss=2", "instance.polcy=least", "keys.peer=12"},
			"[log] level", "[link] crossLoss", "[instance] polcy: unknown key", "[keys] peer")
	})
	t.Run("required keys", func(t *testing.T) {
		expectProblems(t, "", nil, "[instance] seat: is required", "[keys] ticket: is required")
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validText, "log.level=info")
	f.Fuzz(func(t *testing.T, text, override string) {
		s, err := Parse([]byte(text), []string{override})
		if err == nil && (s.Seat == "" && !strings.Contains(text+override, "seat") || len(s.PeerKey) < minKeyBytes) {
			t.Errorf("incomplete settings were accepted: %+v", s)
		}
	})
}

// A platform that does not tell how long it keeps its history leaves an instance without valid
// settings, or a wrong number counts.
func TestPlatformHistory(t *testing.T) {
	base := []string{"instance.seat=a", "instance.dataCentre=b", "listen.callers=h:1", "listen.ready=h:2", "listen.peers=h:3", "listen.metrics=h:4", "platform.address=h:5"}
	for text, want := range map[string]time.Duration{"": defaultPlatformHistory, "0": 0, "12.5": 12500 * time.Millisecond} {
		s, err := ParseGateway(nil, append(slices.Clone(base), "platform.historySeconds="+text))
		if err != nil || s.PlatformHistory != want {
			t.Errorf("%q gives %+v and %v, want %v", text, s, err, want)
		}
	}
	for _, text := range []string{"-1", "20s", "NaN", "1e9"} {
		if _, err := ParseGateway(nil, append(slices.Clone(base), "platform.historySeconds="+text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
