// Package settings reads and checks the daemon's INI settings. All mistakes
// are reported at once, each with its section and key; unknown sections and
// keys are mistakes too.
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

// Settings are the checked settings of one daemon.
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
	// ShutdownTimeout bounds a planned stop.
	ShutdownTimeout time.Duration
	// CrossDataCentreDelay and CrossLoss emulate the links between data centres when
	// all of a deployment runs on one machine.
	CrossDataCentreDelay     time.Duration
	CrossDataCentreLossShare float64
}

const (
	minKeyBytes      = 16
	defaultStopLimit = time.Minute
)

// rule reads one key into settings of type T.
type rule[T any] struct {
	section string
	key     string
	apply   func(s *T, text string) error
	// required is set when there is no default.
	required bool
}

func textRule[T any](section, key string, required bool, field func(*T) *string) rule[T] {
	return rule[T]{section: section, key: key, required: required, apply: func(s *T, text string) error {
		*field(s) = text
		return nil
	}}
}

func listenRule[T any](key string, field func(*T) *string) rule[T] {
	return rule[T]{section: "listen", key: key, required: true, apply: func(s *T, text string) error {
		if _, _, err := net.SplitHostPort(text); err != nil {
			return fmt.Errorf("%q is not host:port", text)
		}
		*field(s) = text
		return nil
	}}
}

func keyRule(key string, field func(*Settings) *[]byte) rule[Settings] {
	return rule[Settings]{section: "keys", key: key, required: true, apply: func(s *Settings, text string) error {
		b, err := hex.DecodeString(text)
		if err != nil || len(b) < minKeyBytes {
			return fmt.Errorf("must be at least %d bytes in hexadecimal", minKeyBytes)
		}
		*field(s) = b
		return nil
	}}
}

func numberRule[T any](key string, field func(*T) *int) rule[T] {
	return rule[T]{section: "limits", key: key, apply: func(s *T, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is not a whole number above zero", text)
		}
		*field(s) = n
		return nil
	}}
}

func durationRule[T any](section, key string, field func(*T) *time.Duration) rule[T] {
	return rule[T]{section: section, key: key, apply: func(s *T, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("%q is not a duration such as 3.5ms or 1m", text)
		}
		*field(s) = d
		return nil
	}}
}

func rules() []rule[Settings] {
	return []rule[Settings]{
		textRule("instance", "seat", true, func(s *Settings) *string { return (*string)(&s.Seat) }),
		textRule("instance", "dataCentre", true, func(s *Settings) *string { return (*string)(&s.DataCentre) }),
		{section: "instance", key: "policy", apply: applyPolicy},
		durationRule("instance", "stopLimit", func(s *Settings) *time.Duration { return &s.ShutdownTimeout }),
		listenRule("caller", func(s *Settings) *string { return &s.CallerListen }),
		listenRule("operator", func(s *Settings) *string { return &s.OperatorListen }),
		listenRule("peer", func(s *Settings) *string { return &s.PeerListen }),
		textRule("platform", "address", true, func(s *Settings) *string { return &s.PlatformAddress }),
		keyRule("ticket", func(s *Settings) *[]byte { return &s.TicketKey }),
		keyRule("peer", func(s *Settings) *[]byte { return &s.PeerKey }),
		{section: "log", key: "level", apply: applyLevel},
		numberRule("maxRuns", func(s *Settings) *int { return &s.Bounds.MaxRuns }),
		numberRule("maxInFlight", func(s *Settings) *int { return &s.Bounds.MaxInFlight }),
		numberRule("maxClaims", func(s *Settings) *int { return &s.Bounds.MaxClaims }),
		numberRule("keepAnswerBytes", func(s *Settings) *int { return &s.Bounds.MaxAnswerBytes }),
		durationRule("link", "crossDelay", func(s *Settings) *time.Duration { return &s.CrossDataCentreDelay }),
		{section: "link", key: "crossLoss", apply: applyLoss},
	}
}

func applyPolicy(s *Settings, text string) error {
	if route.Lookup(text) == nil {
		return fmt.Errorf("%q is not one of %s", text, strings.Join(route.Names(), ", "))
	}
	s.RoutingPolicy = text
	return nil
}

func applyLevel(s *Settings, text string) error {
	switch text {
	case "debug", "info", "warning", "error":
		s.LogLevel = text
		return nil
	}
	return fmt.Errorf("%q is not one of debug, info, warning, error", text)
}

func applyLoss(s *Settings, text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f >= 1 {
		return fmt.Errorf("%q is not a share from 0 to below 1", text)
	}
	s.CrossDataCentreLossShare = f
	return nil
}

// Parse reads settings from INI text. Overrides are section.key=value pairs
// that replace what the text says. The error lists every mistake.
func Parse(text []byte, overrides []string) (*Settings, error) {
	s := &Settings{RoutingPolicy: "least", LogLevel: "info", ShutdownTimeout: defaultStopLimit, Bounds: node.DefaultBounds()}
	if err := parse(text, overrides, s, rules()); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// parse applies the rules to the settings. The error lists every mistake.
func parse[T any](text []byte, overrides []string, s *T, known []rule[T]) error {
	file, err := ini.Load(text)
	if err != nil {
		return errors.Annotate(err, "settings are not valid INI")
	}
	var mistakes []string
	for _, o := range overrides {
		if !override(file, o) {
			mistakes = append(mistakes, fmt.Sprintf("override %q is not section.key=value", o))
		}
	}
	for _, r := range known {
		section, _ := file.GetSection(r.section)
		if section == nil || !section.HasKey(r.key) {
			if r.required {
				mistakes = append(mistakes, fmt.Sprintf("[%s] %s: is required", r.section, r.key))
			}
			continue
		}
		if err := r.apply(s, section.Key(r.key).String()); err != nil {
			mistakes = append(mistakes, fmt.Sprintf("[%s] %s: %v", r.section, r.key, err))
		}
	}
	mistakes = append(mistakes, unknown(file, known)...)
	if len(mistakes) > 0 {
		return errors.Errorf("settings have %d mistakes:\n  %s", len(mistakes), strings.Join(mistakes, "\n  "))
	}
	return nil
}

func override(file *ini.File, text string) bool {
	name, value, ok := strings.Cut(text, "=")
	section, key, dotted := strings.Cut(name, ".")
	if !ok || !dotted {
		return false
	}
	file.Section(section).Key(key).SetValue(value)
	return true
}

func unknown[T any](file *ini.File, known []rule[T]) []string {
	names := map[string]bool{}
	for _, r := range known {
		names[r.section+"."+r.key] = true
	}
	var mistakes []string
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !names[section.Name()+"."+key.Name()] {
				mistakes = append(mistakes, fmt.Sprintf("[%s] %s: unknown key", section.Name(), key.Name()))
			}
		}
	}
	return mistakes
}
