package node

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/route"
)

const (
	// gossipPeriod is how often an instance tells a random peer its revision,
	// which makes up for lost announcements.
	gossipPeriod = time.Second
	// announceFanout is the number of peers that an instance tells of a new
	// revision at once; each of them tells as many again.
	announceFanout = 3
	// readersPerDataCentre is the number of instances per data centre that
	// watch the platform's configuration; the others receive changes from their
	// peers.
	readersPerDataCentre = 2
	// maxSyncCrashReports is the number of the latest crash reports that each
	// seat sends to a new process.
	maxSyncCrashReports = 64
	// maxPreviousDocuments is the number of earlier configurations to which a
	// delta can be sent.
	maxPreviousDocuments = 4
	// maxRegistrationsPerRound is the number of seats that a new process
	// registers with at once, so that its start causes no burst of connections.
	maxRegistrationsPerRound = 40
)

// Configure offers a configuration from the platform or a peer. It takes
// effect only if it is valid and supersedes the one in force; an instance never
// goes back to an earlier one.
func (n *Node) Configure(d *configuration.Document) {
	if !d.Supersedes(n.document) {
		return
	}
	if problems := d.Validate(); len(problems) > 0 {
		n.logEvent("badConfiguration", ident.Key{}, problems[0])
		return
	}
	if n.document != nil {
		n.previousDocuments = append(n.previousDocuments, previousDocument{document: n.document, digest: n.documentDigest})
		n.previousDocuments = n.previousDocuments[max(len(n.previousDocuments)-maxPreviousDocuments, 0):]
	}
	n.document = d
	n.documentDigest = d.Digest()
	seats := d.Seats()
	n.peers = slices.DeleteFunc(slices.Clone(seats), func(s ident.Instance) bool { return s == n.config.Seat })
	if len(n.peers) == 0 {
		n.revisionConfirmed = true
	}
	n.voter.SetSeats(seats, claim.TimeBounds{ResendHorizon: d.ResendHorizonMillis.Duration(), ClockSkew: d.ClockSkewMillis.Duration()})
	n.admission.SetWorkspaces(n.now(), d.Workspaces, len(seats))
	n.out.LogEvent(Event{Name: "configured", Detail: n.documentDigest, Count: int64(d.Revision)})
	n.registerWithSeats()
	for _, peer := range n.randomPeers(announceFanout) {
		n.sendRevision(peer, false)
	}
}

// SetBootstrapPeers sets the other instances. It has no effect once there is a
// configuration, which lists them.
func (n *Node) SetBootstrapPeers(peers []ident.Instance) {
	if n.document == nil {
		n.peers = peers
	}
}

// Revision returns the revision in force, 0 without a configuration.
func (n *Node) Revision() ident.ConfigurationRevision {
	if n.document == nil {
		return 0
	}
	return n.document.Revision
}

// IsReader reports whether this instance is one of those in its data centre
// that watch the platform. There is no election: all instances rank the data
// centre's seats alike. The ranking changes with the revision, so that the
// load of reading whole documents rotates.
func (n *Node) IsReader() bool {
	if n.document == nil {
		return true
	}
	for _, dc := range n.document.DataCentres {
		if dc.Name != n.config.DataCentre {
			continue
		}
		ranked := slices.Clone(dc.Seats)
		rankingKey := "reader/" + strconv.FormatUint(uint64(n.Revision()), 10)
		slices.SortFunc(ranked, func(a, b ident.Instance) int {
			return cmp.Compare(ident.HashPair(rankingKey, string(a)), ident.HashPair(rankingKey, string(b)))
		})
		i := slices.Index(ranked, n.config.Seat)
		return i >= 0 && i < readersPerDataCentre
	}
	return true
}

// UpdateEndpoints replaces the known endpoints by the platform's list.
func (n *Node) UpdateEndpoints(endpoints []route.Listing) { n.directory.Update(endpoints) }

// randomPeers returns the given number of distinct random peers, or all if
// there are no more.
func (n *Node) randomPeers(count int) []ident.Instance {
	if len(n.peers) <= count {
		return n.peers
	}
	chosen := make([]ident.Instance, 0, count)
	for len(chosen) < count {
		peer := n.peers[n.config.Random.IntN(len(n.peers))]
		if !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// gossipRevision tells one random peer this instance's revision. While there
// is no configuration, or no peer has confirmed it, it asks several.
func (n *Node) gossipRevision() {
	if n.retired {
		return
	}
	count := 1
	if n.document == nil || !n.revisionConfirmed {
		count = announceFanout
	}
	for _, peer := range n.randomPeers(count) {
		n.sendRevision(peer, !n.revisionConfirmed)
	}
}

func (n *Node) sendRevision(to ident.Instance, wantsRevision bool) {
	n.send(to, message.Envelope{Revision: &message.Revision{Revision: n.Revision(), Digest: n.documentDigest, WantsRevision: wantsRevision}})
}

// handleRevision compares a peer's revision with this instance's. If the
// peer's is newer, it asks for the configuration, unless the message itself is
// such a question; if it is older, it sends the peer this one; if it is the
// same, the revision is confirmed.
func (n *Node) handleRevision(from ident.Instance, m message.Revision) {
	switch {
	case m.Revision > n.Revision() || m.Revision == n.Revision() && m.Digest > n.documentDigest:
		if !m.WantsRevision {
			n.sendRevision(from, true)
		}
	case n.document != nil && (m.Revision < n.Revision() || m.Digest < n.documentDigest):
		n.sendConfiguration(from, m.Digest)
	default:
		n.revisionConfirmed = true
		if m.WantsRevision {
			n.sendRevision(from, false)
		}
	}
}

// previousDocument is an earlier configuration with its digest, which is too
// expensive to compute for each message.
type previousDocument struct {
	document *configuration.Document
	digest   string
}

// sendConfiguration sends the delta to the receiver's configuration if that is
// among the previous ones, otherwise the whole document.
func (n *Node) sendConfiguration(to ident.Instance, knownDigest string) {
	for _, d := range n.previousDocuments {
		if d.digest != knownDigest {
			continue
		}
		if delta := configuration.NewDelta(d.document, n.document); delta != nil {
			n.send(to, message.Envelope{Configuration: &message.Configuration{Delta: delta}})
			return
		}
	}
	n.send(to, message.Envelope{Configuration: &message.Configuration{Document: n.document}})
}

func (n *Node) handleConfiguration(m message.Configuration) {
	if m.Document != nil {
		n.Configure(m.Document)
		return
	}
	if m.Delta == nil || n.document == nil || m.Delta.FromDigest != n.documentDigest {
		// A later announcement brings a delta that fits.
		return
	}
	if d := m.Delta.Apply(n.document); d != nil {
		n.Configure(d)
	}
}

// registerWithSeats registers this process with seats that have not sent their
// records yet.
func (n *Node) registerWithSeats() {
	if n.document == nil || n.retired {
		return
	}
	seats := n.voter.UnsyncedSeats()
	if len(seats) > maxRegistrationsPerRound {
		first := n.config.Random.IntN(len(seats) - maxRegistrationsPerRound + 1)
		seats = seats[first : first+maxRegistrationsPerRound]
	}
	for _, seat := range seats {
		registration := n.voter.Registration()
		n.send(seat, message.Envelope{Register: &registration})
	}
}

func (n *Node) votingGroup(key ident.Key) []ident.Instance { return claim.VotingGroup(n.document, key) }

// handleRegister accepts or rejects the registration of another seat's
// process. If it accepts, it sends what this instance remembers for that seat.
func (n *Node) handleRegister(from ident.Instance, m claim.Registration) {
	if n.document == nil || n.retired {
		return
	}
	claims, ok := n.voter.HandleRegistration(n.now(), m, n.votingGroup)
	if !ok {
		return
	}
	reply := message.Sync{Claims: claims}
	if claims.KnownEpoch == 0 {
		reply.Answers = n.sharedAnswers.EntriesMatching(func(key ident.Key) bool { return slices.Contains(n.votingGroup(key), m.Seat) })
		reply.CrashReports = n.blame.LatestReports(maxSyncCrashReports)
		reply.PredecessorMemory = n.takePredecessorMemory(m.Seat, m.Epoch)
	}
	n.send(from, message.Envelope{Sync: &reply})
}

// handleSync merges the shared answers before the claims, because this seat
// counts as synced with the sender once it has the claims.
func (n *Node) handleSync(m message.Sync) {
	for _, report := range m.CrashReports {
		n.blame.AddReport(n.now(), report)
	}
	n.sharedAnswers.Merge(m.Answers)
	if memory := m.PredecessorMemory; memory != nil && m.Claims.InReplyTo == n.voter.Registration() && n.voter.RestoreHandOver(memory.Epoch, memory.CompleteSince, memory.Claims) {
		n.sharedAnswers.Merge(memory.Answers)
	}
	if n.voter.HandleSync(m.Claims) {
		n.registerWithSeats()
	}
}
