package questionnaire

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"anvilcross/kernel/value"
)

// section reads typed keys and notes which were read, so that a misspelt key
// is a mistake instead of a silent default.
type section struct {
	reader *reader
	raw    *ini.Section
	kind   string
	names  []string
	used   value.Set[string]
}

func (s *section) value(key string) (string, bool) {
	s.used.Add(key)
	if !s.raw.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.raw.Key(key).String()), true
}

// text returns a key's value. A key without a fallback is required.
func (s *section) text(key, fallback string) string {
	v, ok := s.value(key)
	switch {
	case ok && v != "":
		return v
	case fallback == "-":
		return ""
	case fallback == "":
		s.reader.mistakef("[%s] %s: is required", s.raw.Name(), key)
	}
	return fallback
}

func (s *section) list(key string, fallback []string) []string {
	v, ok := s.value(key)
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

// number returns a whole positive number. A fallback of zero means required.
func (s *section) number(key string, fallback int) int {
	v, ok := s.value(key)
	if !ok {
		if fallback == 0 {
			s.reader.mistakef("[%s] %s: is required", s.raw.Name(), key)
		}
		return fallback
	}
	return s.parseNumber(key, v)
}

func (s *section) parseNumber(key, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		s.reader.mistakef("[%s] %s: %q is not a whole number above zero", s.raw.Name(), key, text)
		return 1
	}
	return n
}

func (s *section) flag(key string, fallback bool) bool {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	switch strings.ToLower(v) {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	s.reader.mistakef("[%s] %s: %q is neither yes nor no", s.raw.Name(), key, v)
	return fallback
}

// duration returns a duration such as 20ms or 4s. A fallback of zero means
// required.
func (s *section) duration(key string, fallback time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		if fallback == 0 && key != "crossDataCentreDelay" {
			s.reader.mistakef("[%s] %s: is required", s.raw.Name(), key)
		}
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		s.reader.mistakef("[%s] %s: %q is not a duration such as 20ms or 4s", s.raw.Name(), key, v)
		return time.Second
	}
	return d
}

func (s *section) rejectUnknown() {
	for _, key := range s.raw.Keys() {
		if !s.used.Has(key.Name()) {
			s.reader.mistakef("[%s] %s: unknown key; known keys are %s", s.raw.Name(), key.Name(), strings.Join(s.used.Sorted(), ", "))
		}
	}
}
