package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/ident"
)

// Gateway are the checked settings of a daemon on a users' platform.
type Gateway struct {
	Seat       ident.Instance
	DataCentre ident.DataCentre
	// Seeds are peer addresses to find the other instances by.
	Seeds []string
	// ShutdownTimeout bounds a planned stop.
	ShutdownTimeout time.Duration

	CallerListen string
	ReadyListen  string
	PeerListen   string
	// AnnounceAddress is the address under which others reach PeerListen; the same
	// one if it is not set.
	AnnounceAddress string
	MetricsListen   string

	PlatformAddress string

	// MemoryMegabytes is what the process may use.
	MemoryMegabytes int
	// ProcessorShare is the part of a processor core that the process has, and
	// LinkMegabits the bandwidth of its machine's link in Mbit/s.
	ProcessorShare        float64
	LinkMegabitsPerSecond float64
	// RetryRatio, RetrySlack and RetryWindow are the fleet's retry budget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

func gatewayRules() []rule[Gateway] {
	return []rule[Gateway]{
		textRule("instance", "seat", true, func(s *Gateway) *string { return (*string)(&s.Seat) }),
		textRule("instance", "dataCentre", true, func(s *Gateway) *string { return (*string)(&s.DataCentre) }),
		{section: "instance", key: "seeds", apply: applySeeds},
		durationRule("instance", "stopLimit", func(s *Gateway) *time.Duration { return &s.ShutdownTimeout }),
		listenRule("callers", func(s *Gateway) *string { return &s.CallerListen }),
		listenRule("ready", func(s *Gateway) *string { return &s.ReadyListen }),
		listenRule("peers", func(s *Gateway) *string { return &s.PeerListen }),
		announceRule(),
		listenRule("metrics", func(s *Gateway) *string { return &s.MetricsListen }),
		textRule("platform", "address", true, func(s *Gateway) *string { return &s.PlatformAddress }),
		numberRule("memoryMegabytes", func(s *Gateway) *int { return &s.MemoryMegabytes }),
		fractionRule("limits", "processorShare", func(s *Gateway) *float64 { return &s.ProcessorShare }),
		fractionRule("limits", "linkMegabits", func(s *Gateway) *float64 { return &s.LinkMegabitsPerSecond }),
		fractionRule("retries", "ratio", func(s *Gateway) *float64 { return &s.RetryRatio }),
		fractionRule("retries", "slack", func(s *Gateway) *float64 { return &s.RetrySlack }),
		durationRule("retries", "window", func(s *Gateway) *time.Duration { return &s.RetryWindow }),
	}
}

func announceRule() rule[Gateway] {
	r := listenRule("announce", func(s *Gateway) *string { return &s.AnnounceAddress })
	r.required = false
	return r
}

func fractionRule(section, key string, field func(*Gateway) *float64) rule[Gateway] {
	return rule[Gateway]{section: section, key: key, apply: func(s *Gateway, text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f < 0 {
			return fmt.Errorf("%q is not a number that is not negative", text)
		}
		*field(s) = f
		return nil
	}}
}

func applySeeds(s *Gateway, text string) error {
	s.Seeds = nil
	for seed := range strings.SplitSeq(text, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			s.Seeds = append(s.Seeds, seed)
		}
	}
	return nil
}

// What batching for one stage service of a large fleet takes: the smallest
// instances of the users' grown deployments have one unit of each.
const (
	unitProcessor = 0.19
	unitMegabits  = 10
)

// Capacity is what the instance can take on for others, in units of the
// smallest instances; zero if the settings do not say.
func (s *Gateway) Capacity() float64 {
	return min(s.ProcessorShare/unitProcessor, s.LinkMegabitsPerSecond/unitMegabits)
}

// Defaults of the gateway's settings, for deployments that set no bounds.
const (
	defaultGatewayStop = 8 * time.Second
	defaultMemory      = 256
	defaultRatio       = 0.1
	defaultSlack       = 20
	defaultWindow      = 10 * time.Second
)

// ParseGateway reads a gateway's settings from INI text. Overrides are
// section.key=value pairs. The error lists every mistake.
func ParseGateway(text []byte, overrides []string) (*Gateway, error) {
	s := &Gateway{
		ShutdownTimeout: defaultGatewayStop,
		MemoryMegabytes: defaultMemory,
		RetryRatio:      defaultRatio,
		RetrySlack:      defaultSlack,
		RetryWindow:     defaultWindow,
	}
	if err := parse(text, overrides, s, gatewayRules()); err != nil {
		return nil, errors.Trace(err)
	}
	if s.AnnounceAddress == "" {
		s.AnnounceAddress = s.PeerListen
	}
	return s, nil
}
