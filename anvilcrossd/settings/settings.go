// Package settings parses and validates the daemon's INI settings. It reports
// all problems at once, each with its section and key; unknown keys are problems
// too.
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/route"
)

// Settings holds the validated settings of the subcommand serve.
type Settings struct {
	Seat          ident.Instance
	DataCentre    ident.DataCentre
	RoutingPolicy string

	CallerListen   string
	OperatorListen string
	PeerListen     string

	PlatformAddress string

	TicketKey []byte
	PeerKey   []byte

	LogLevel string
	Bounds   node.Bounds
	// ShutdownTimeout limits a graceful shutdown.
	ShutdownTimeout time.Duration
	// CrossDataCentreDelay (one way) and CrossDataCentreLossShare emulate the
	// links between data centres if a whole deployment runs on one machine.
	CrossDataCentreDelay     time.Duration
	CrossDataCentreLossShare float64
}

const (
	minKeyBytes            = 16
	defaultShutdownTimeout = time.Minute
)

// setting describes one key of the settings.
type setting[T any] struct {
	section string
	key     string
	// apply parses the key's value into settings of type T.
	apply func(s *T, text string) error
	// applyKey replaces key and apply for a section whose keys are free names.
	applyKey func(s *T, key, text string)
	// required is set if the key has no default.
	required bool
}

func textSetting[T any](section, key string, required bool, field func(*T) *string) setting[T] {
	return setting[T]{section: section, key: key, required: required, apply: func(s *T, text string) error {
		*field(s) = text
		return nil
	}}
}

// listenSetting describes a required host:port address.
func listenSetting[T any](key string, field func(*T) *string) setting[T] {
	return setting[T]{section: "listen", key: key, required: true, apply: func(s *T, text string) error {
		if _, _, err := net.SplitHostPort(text); err != nil {
			return fmt.Errorf("%q is not host:port", text)
		}
		*field(s) = text
		return nil
	}}
}

// secretSetting describes a required secret key in hexadecimal.
func secretSetting(key string, field func(*Settings) *[]byte) setting[Settings] {
	return setting[Settings]{section: "keys", key: key, required: true, apply: func(s *Settings, text string) error {
		b, err := hex.DecodeString(text)
		if err != nil || len(b) < minKeyBytes {
			return fmt.Errorf("must be at least %d bytes in hexadecimal", minKeyBytes)
		}
		*field(s) = b
		return nil
	}}
}

// countSetting describes an optional limit, a whole number above zero.
func countSetting[T any](key string, field func(*T) *int) setting[T] {
	return setting[T]{section: "limits", key: key, apply: func(s *T, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is not a whole number above zero", text)
		}
		*field(s) = n
		return nil
	}}
}

func durationSetting[T any](section, key string, field func(*T) *time.Duration) setting[T] {
	return setting[T]{section: section, key: key, apply: func(s *T, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("%q is not a duration such as 3.5ms or 1m", text)
		}
		*field(s) = d
		return nil
	}}
}

func knownSettings() []setting[Settings] {
	return []setting[Settings]{
		textSetting("instance", "seat", true, func(s *Settings) *string { return (*string)(&s.Seat) }),
		textSetting("instance", "dataCentre", true, func(s *Settings) *string { return (*string)(&s.DataCentre) }),
		{section: "instance", key: "policy", apply: applyPolicy},
		durationSetting("instance", "stopLimit", func(s *Settings) *time.Duration { return &s.ShutdownTimeout }),
		listenSetting("caller", func(s *Settings) *string { return &s.CallerListen }),
		listenSetting("operator", func(s *Settings) *string { return &s.OperatorListen }),
		listenSetting("peer", func(s *Settings) *string { return &s.PeerListen }),
		textSetting("platform", "address", true, func(s *Settings) *string { return &s.PlatformAddress }),
		secretSetting("ticket", func(s *Settings) *[]byte { return &s.TicketKey }),
		secretSetting("peer", func(s *Settings) *[]byte { return &s.PeerKey }),
		{section: "log", key: "level", apply: applyLogLevel},
		countSetting("maxRuns", func(s *Settings) *int { return &s.Bounds.MaxRuns }),
		countSetting("maxInFlight", func(s *Settings) *int { return &s.Bounds.MaxInFlight }),
		countSetting("maxClaims", func(s *Settings) *int { return &s.Bounds.MaxClaims }),
		countSetting("keepAnswerBytes", func(s *Settings) *int { return &s.Bounds.MaxAnswerBytes }),
		durationSetting("link", "crossDelay", func(s *Settings) *time.Duration { return &s.CrossDataCentreDelay }),
		{section: "link", key: "crossLoss", apply: applyLossShare},
	}
}

func applyPolicy(s *Settings, text string) error {
	if route.Lookup(text) == nil {
		return fmt.Errorf("%q is not one of %s", text, strings.Join(route.Names(), ", "))
	}
	s.RoutingPolicy = text
	return nil
}

func applyLogLevel(s *Settings, text string) error {
	switch text {
	case "debug", "info", "warning", "error":
		s.LogLevel = text
		return nil
	}
	return fmt.Errorf("%q is not one of debug, info, warning, error", text)
}

func applyLossShare(s *Settings, text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f >= 1 {
		return fmt.Errorf("%q is not a share of at least 0 and below 1", text)
	}
	s.CrossDataCentreLossShare = f
	return nil
}

// Parse parses settings from INI text. Overrides are section.key=value pairs
// that take precedence over the text. The error lists every problem.
func Parse(text []byte, overrides []string) (*Settings, error) {
	s := &Settings{RoutingPolicy: "least", LogLevel: "info", ShutdownTimeout: defaultShutdownTimeout, Bounds: node.DefaultBounds()}
	if err := parse(text, overrides, s, knownSettings()); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// parse stores the values of the known keys in the settings. The error lists
// every problem.
func parse[T any](text []byte, overrides []string, s *T, known []setting[T]) error {
	file, err := ini.Load(text)
	if err != nil {
		return errors.Annotate(err, "settings are not valid INI")
	}
	var problems []string
	for _, o := range overrides {
		if !applyOverride(file, o) {
			problems = append(problems, fmt.Sprintf("override %q is not section.key=value", o))
		}
	}
	for _, k := range known {
		section, _ := file.GetSection(k.section)
		if k.applyKey != nil {
			applyKeys(section, s, k.applyKey)
			continue
		}
		if section == nil || !section.HasKey(k.key) {
			if k.required {
				problems = append(problems, fmt.Sprintf("[%s] %s: is required", k.section, k.key))
			}
			continue
		}
		if err := k.apply(s, section.Key(k.key).String()); err != nil {
			problems = append(problems, fmt.Sprintf("[%s] %s: %v", k.section, k.key, err))
		}
	}
	problems = append(problems, unknownKeys(file, known)...)
	if len(problems) > 0 {
		return errors.Errorf("settings have %d problems:\n  %s", len(problems), strings.Join(problems, "\n  "))
	}
	return nil
}

// applyKeys applies all keys of a section, which may be nil.
func applyKeys[T any](section *ini.Section, s *T, apply func(s *T, key, text string)) {
	if section == nil {
		return
	}
	for _, key := range section.Keys() {
		apply(s, key.Name(), key.String())
	}
}

// applyOverride sets one key in the file. It returns false if the text is not
// section.key=value.
func applyOverride(file *ini.File, text string) bool {
	name, value, ok := strings.Cut(text, "=")
	section, key, dotted := strings.Cut(name, ".")
	if !ok || !dotted {
		return false
	}
	file.Section(section).Key(key).SetValue(value)
	return true
}

// unknownKeys returns a problem for each key of the file that is not known.
func unknownKeys[T any](file *ini.File, known []setting[T]) []string {
	names := map[string]bool{}
	free := map[string]bool{}
	for _, k := range known {
		names[k.section+"."+k.key] = true
		free[k.section] = free[k.section] || k.applyKey != nil
	}
	var problems []string
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !free[section.Name()] && !names[section.Name()+"."+key.Name()] {
				problems = append(problems, fmt.Sprintf("[%s] %s: unknown key", section.Name(), key.Name()))
			}
		}
	}
	return problems
}
