package questionnaire

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"anvilcross/kernel/value"
)

// section reads the typed keys of a section. It records the keys that were asked
// for, so that a misspelt key is reported instead of silently giving a default.
type section struct {
	generator *generator
	raw       *ini.Section
	// kind is the first word of the section's name, and names are the others.
	kind  string
	names []string
	// knownKeys are the keys that were asked for.
	knownKeys value.Set[string]
}

// lookup returns a key's trimmed value and whether the section has the key.
func (s *section) lookup(key string) (string, bool) {
	s.knownKeys.Add(key)
	if !s.raw.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.raw.Key(key).String()), true
}

// text returns a key's value, or the fallback if the key is missing or empty. An
// empty fallback makes the key required; the fallback "-" makes it optional with
// an empty default.
func (s *section) text(key, fallback string) string {
	v, ok := s.lookup(key)
	switch {
	case ok && v != "":
		return v
	case fallback == "-":
		return ""
	case fallback == "":
		s.generator.addProblemf("[%s] %s: is required", s.raw.Name(), key)
	}
	return fallback
}

// list returns the non-empty items of a comma-separated list.
func (s *section) list(key string, fallback []string) []string {
	v, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	var items []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// positiveInt returns a positive integer. The key is required if the fallback is
// zero.
func (s *section) positiveInt(key string, fallback int) int {
	v, ok := s.lookup(key)
	if !ok {
		if fallback == 0 {
			s.generator.addProblemf("[%s] %s: is required", s.raw.Name(), key)
		}
		return fallback
	}
	return s.parsePositiveInt(key, v)
}

// parsePositiveInt returns 1 for a text that it reports as invalid.
func (s *section) parsePositiveInt(key, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		s.generator.addProblemf("[%s] %s: %q is not a whole number above zero", s.raw.Name(), key, text)
		return 1
	}
	return n
}

// boolean returns whether the key says yes or true rather than no or false, in
// any case of letters.
func (s *section) boolean(key string, fallback bool) bool {
	v, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	switch strings.ToLower(v) {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	s.generator.addProblemf("[%s] %s: %q is neither yes nor no", s.raw.Name(), key, v)
	return fallback
}

// duration returns a positive duration, written like 20ms or 4s. The key is
// required if the fallback is zero, except crossDataCentreDelay.
func (s *section) duration(key string, fallback time.Duration) time.Duration {
	v, ok := s.lookup(key)
	if !ok {
		if fallback == 0 && key != "crossDataCentreDelay" {
			s.generator.addProblemf("[%s] %s: is required", s.raw.Name(), key)
		}
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		s.generator.addProblemf("[%s] %s: %q is not a duration such as 20ms or 4s", s.raw.Name(), key, v)
		return time.Second
	}
	return d
}

// rejectUnknownKeys reports the keys of the section that nothing asked for.
func (s *section) rejectUnknownKeys() {
	for _, key := range s.raw.Keys() {
		if !s.knownKeys.Has(key.Name()) {
			s.generator.addProblemf("[%s] %s: unknown key; known keys are %s", s.raw.Name(), key.Name(), strings.Join(s.knownKeys.Sorted(), ", "))
		}
	}
}
