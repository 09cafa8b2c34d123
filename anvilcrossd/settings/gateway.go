package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/placement"
)

// Gateway holds the validated settings of the subcommand gateway, which serves on
// a users' platform.
type Gateway struct {
	Seat       ident.Instance
	DataCentre ident.DataCentre
	// Seeds are peer addresses through which the instance finds the others.
	Seeds []string
	// ShutdownTimeout limits a graceful shutdown.
	ShutdownTimeout time.Duration

	CallerListen string
	ReadyListen  string
	PeerListen   string
	// AnnounceAddress is the address at which other instances reach PeerListen.
	// The default is PeerListen itself.
	AnnounceAddress string
	MetricsListen   string

	PlatformAddress string
	// PlatformHistory is the time for which the platform's store keeps the history of changes.
	PlatformHistory time.Duration

	// MemoryMegabytes is the memory that the process may use, in units of
	// 1 << 20 bytes.
	MemoryMegabytes int
	// CallerMemoryShare is the share of that memory that may be held for callers' bodies
	// and heads.
	CallerMemoryShare float64
	// MaxWaitingConnections limits the callers' connections on which no whole request has
	// arrived. It is zero if it follows from the memory and the descriptors.
	MaxWaitingConnections int
	// ReceiveBufferBytes limits the unread bytes of each connection of callers. It is zero if
	// it follows from the memory and the number of connections.
	ReceiveBufferBytes int
	// ProcessorShare is the share of a processor core that the process may use,
	// and LinkMegabitsPerSecond the bandwidth of its machine's link. Both are
	// zero if they are not set.
	ProcessorShare        float64
	LinkMegabitsPerSecond float64
	// RetryRatio, RetrySlack and RetryWindow set the fleet's retry budget: within
	// a window, a service may receive the ratio times its requests plus the slack
	// as retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Regions holds the region of each data centre.
	Regions evacuation.Regions
	// AdmissionPolicy sets where requests with stages are admitted: auto, pipeline or
	// stage.
	AdmissionPolicy string
	// Placement says where endpoints are chosen by estimate: auto, estimate or off.
	Placement placement.Mode
}

func knownGatewaySettings() []setting[Gateway] {
	return []setting[Gateway]{
		textSetting("instance", "seat", true, func(s *Gateway) *string { return (*string)(&s.Seat) }),
		textSetting("instance", "dataCentre", true, func(s *Gateway) *string { return (*string)(&s.DataCentre) }),
		{section: "instance", key: "seeds", apply: applySeeds},
		durationSetting("instance", "stopLimit", func(s *Gateway) *time.Duration { return &s.ShutdownTimeout }),
		listenSetting("callers", func(s *Gateway) *string { return &s.CallerListen }),
		listenSetting("ready", func(s *Gateway) *string { return &s.ReadyListen }),
		listenSetting("peers", func(s *Gateway) *string { return &s.PeerListen }),
		announceSetting(),
		listenSetting("metrics", func(s *Gateway) *string { return &s.MetricsListen }),
		textSetting("platform", "address", true, func(s *Gateway) *string { return &s.PlatformAddress }),
		{section: "platform", key: "historySeconds", apply: applyPlatformHistory},
		countSetting("memoryMegabytes", func(s *Gateway) *int { return &s.MemoryMegabytes }),
		{section: "limits", key: "callerMemoryShare", apply: applyCallerMemoryShare},
		countSetting("waitingConnections", func(s *Gateway) *int { return &s.MaxWaitingConnections }),
		countSetting("receiveBufferBytes", func(s *Gateway) *int { return &s.ReceiveBufferBytes }),
		numberSetting("limits", "processorShare", func(s *Gateway) *float64 { return &s.ProcessorShare }),
		numberSetting("limits", "linkMegabits", func(s *Gateway) *float64 { return &s.LinkMegabitsPerSecond }),
		numberSetting("retries", "ratio", func(s *Gateway) *float64 { return &s.RetryRatio }),
		numberSetting("retries", "slack", func(s *Gateway) *float64 { return &s.RetrySlack }),
		durationSetting("retries", "window", func(s *Gateway) *time.Duration { return &s.RetryWindow }),
		{section: "instance", key: "regions", apply: applyRegions},
		{section: "regions", applyKey: func(s *Gateway, dataCentre, region string) {
			s.Regions[ident.DataCentre(dataCentre)] = ident.Region(region)
		}},
		{section: "admission", key: "policy", apply: applyAdmissionPolicy},
		{section: "routing", key: "placement", apply: applyPlacement},
	}
}

// announceSetting returns the optional setting of the announced peer address.
func announceSetting() setting[Gateway] {
	a := listenSetting("announce", func(s *Gateway) *string { return &s.AnnounceAddress })
	a.required = false
	return a
}

// numberSetting describes a number that is zero or more.
func numberSetting(section, key string, field func(*Gateway) *float64) setting[Gateway] {
	return setting[Gateway]{section: section, key: key, apply: func(s *Gateway, text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f < 0 {
			return fmt.Errorf("%q is not a number of zero or more", text)
		}
		*field(s) = f
		return nil
	}}
}

// applyCallerMemoryShare parses the share of the memory for callers. Replies of endpoints and the
// process itself need the rest.
func applyCallerMemoryShare(s *Gateway, text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f > 0 && f <= maxCallerMemoryShare) {
		return fmt.Errorf("%q is not a share above 0 and of at most %v", text, maxCallerMemoryShare)
	}
	s.CallerMemoryShare = f
	return nil
}

// applyPlacement parses the setting of where endpoints are chosen by estimate.
func applyPlacement(s *Gateway, text string) error {
	switch mode := placement.Mode(text); mode {
	case placement.Auto, placement.Always, placement.Off:
		s.Placement = mode
		return nil
	}
	return fmt.Errorf("%q is not %s, %s or %s", text, placement.Auto, placement.Always, placement.Off)
}

// applyPlatformHistory parses the time for which the platform's store keeps its history. A platform
// that does not tell it leaves the text empty.
func applyPlatformHistory(s *Gateway, text string) error {
	if text == "" {
		return nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxPlatformHistory.Seconds()) {
		return fmt.Errorf("%q is not a number of seconds from 0 to %v", text, maxPlatformHistory.Seconds())
	}
	s.PlatformHistory = time.Duration(seconds * float64(time.Second))
	return nil
}

// applyRegions parses a JSON table of the region of each data centre. It may be empty.
func applyRegions(s *Gateway, text string) error {
	if text == "" {
		return nil
	}
	var table map[ident.DataCentre]ident.Region
	if err := json.Unmarshal([]byte(text), &table); err != nil {
		return fmt.Errorf("%q is not a table of names: %v", text, err)
	}
	maps.Copy(s.Regions, table)
	return nil
}

// applySeeds parses a comma-separated list of addresses.
func applySeeds(s *Gateway, text string) error {
	s.Seeds = nil
	for seed := range strings.SplitSeq(text, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			s.Seeds = append(s.Seeds, seed)
		}
	}
	return nil
}

// applyAdmissionPolicy parses the admission policy.
func applyAdmissionPolicy(s *Gateway, text string) error {
	if !slices.Contains(admissionPolicies, text) {
		return fmt.Errorf("%q is none of %s", text, strings.Join(admissionPolicies, ", "))
	}
	s.AdmissionPolicy = text
	return nil
}

// admissionPolicies are the values of the admission policy, the default first.
var admissionPolicies = []string{"auto", "pipeline", "stage"}

// One unit of capacity: the share of a processor core and the bandwidth that
// batching for one stage service of a large fleet needs. The smallest instances
// of the users' grown deployments have one unit of each.
const (
	unitProcessorShare    = 0.19
	unitMegabitsPerSecond = 10
)

// Capacity returns the instance's capacity for work on behalf of others,
// relative to that of the smallest instances. It is zero if it is not
// configured.
func (s *Gateway) Capacity() float64 {
	return min(s.ProcessorShare/unitProcessorShare, s.LinkMegabitsPerSecond/unitMegabitsPerSecond)
}

// Defaults of the gateway's settings.
const (
	defaultGatewayShutdownTimeout = 8 * time.Second
	defaultMemoryMegabytes        = 256
	// defaultCallerMemoryShare is 36 MB of the smallest instances' 144 MB: six bodies of
	// the published 4 MiB at once while their buffers grow, and thousands of usual ones.
	defaultCallerMemoryShare = 0.25
	maxCallerMemoryShare     = 0.5
	defaultRetryRatio        = 0.1
	defaultRetrySlack        = 20
	defaultRetryWindow       = 10 * time.Second
	defaultPlatformHistory   = 20 * time.Second
	maxPlatformHistory       = 24 * time.Hour
)

// ParseGateway parses a gateway's settings from INI text. Overrides are
// section.key=value pairs that take precedence over the text. The error lists
// every problem.
func ParseGateway(text []byte, overrides []string) (*Gateway, error) {
	s := &Gateway{
		ShutdownTimeout:   defaultGatewayShutdownTimeout,
		MemoryMegabytes:   defaultMemoryMegabytes,
		CallerMemoryShare: defaultCallerMemoryShare,
		RetryRatio:        defaultRetryRatio,
		RetrySlack:        defaultRetrySlack,
		RetryWindow:       defaultRetryWindow,
		PlatformHistory:   defaultPlatformHistory,
		Regions:           evacuation.Regions{},
		AdmissionPolicy:   admissionPolicies[0],
		Placement:         placement.Auto,
	}
	if err := parse(text, overrides, s, knownGatewaySettings()); err != nil {
		return nil, errors.Trace(err)
	}
	if s.AnnounceAddress == "" {
		s.AnnounceAddress = s.PeerListen
	}
	return s, nil
}
