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
	// gossipPeriod is how often an instance tells a random other one its
	// revision, so that a lost announcement is made up for.
	gossipPeriod = time.Second
	// announceFanout is the number of instances told of a new revision at
	// once. Each of them tells as many again.
	announceFanout = 3
	// readersPerDataCentre is the number of instances per data centre that
	// watch the platform; the others hear of changes from their peers.
	readersPerDataCentre = 2
	// blamedInSync is the number of blamed contents that a fresh instance is
	// told by each of the others.
	blamedInSync = 64
	// keptDocuments is the number of earlier configurations to which
	// differences can be sent.
	keptDocuments = 4
	// registersAtOnce is the number of seats that a fresh instance announces
	// itself to in one go, so that its start makes no burst of connections.
	registersAtOnce = 40
)

// Configure offers a document from the platform or a peer. It is taken only
// if it is newer than the one in force; an instance never moves back.
func (n *Node) Configure(d *configuration.Document) {
	if !d.Supersedes(n.document) {
		return
	}
	if problems := d.Validate(); len(problems) > 0 {
		n.event("badConfiguration", ident.Key{}, problems[0])
		return
	}
	if n.document != nil {
		n.earlier = append(n.earlier, keptDocument{document: n.document, digest: n.digest})
		n.earlier = n.earlier[max(len(n.earlier)-keptDocuments, 0):]
	}
	n.document = d
	n.digest = d.Digest()
	seats := d.Seats()
	n.peers = slices.DeleteFunc(slices.Clone(seats), func(s ident.Instance) bool { return s == n.config.Seat })
	if len(n.peers) == 0 {
		n.confirmed = true
	}
	n.memory.SetSeats(seats, claim.TimeBounds{ResendHorizon: d.ResendHorizonMillis.Duration(), ClockSkew: d.ClockSkewMillis.Duration()})
	n.admission.SetWorkspaces(n.now(), d.Workspaces, len(seats))
	n.out.LogEvent(Event{Name: "configured", Detail: n.digest, Count: int64(d.Revision)})
	n.register()
	for _, peer := range n.somePeers(announceFanout) {
		n.tellRevision(peer, false)
	}
}

// SetBootstrapPeers names the other instances before a configuration is known.
func (n *Node) SetBootstrapPeers(peers []ident.Instance) {
	if n.document == nil {
		n.peers = peers
	}
}

// Revision returns the revision in force; zero without configuration.
func (n *Node) Revision() ident.ConfigurationRevision {
	if n.document == nil {
		return 0
	}
	return n.document.Revision
}

// IsReader reports whether this instance is one of those in its data centre
// that watch the platform. It is computed, not elected: all instances rank
// the seats of the data centre alike. The revision is part of the ranking, so
// that reading whole documents goes round.
func (n *Node) IsReader() bool {
	if n.document == nil {
		return true
	}
	for _, dc := range n.document.DataCentres {
		if dc.Name != n.config.DataCentre {
			continue
		}
		ranked := slices.Clone(dc.Seats)
		turn := "reader/" + strconv.FormatUint(uint64(n.Revision()), 10)
		slices.SortFunc(ranked, func(a, b ident.Instance) int {
			return cmp.Compare(ident.HashPair(turn, string(a)), ident.HashPair(turn, string(b)))
		})
		i := slices.Index(ranked, n.config.Seat)
		return i >= 0 && i < readersPerDataCentre
	}
	return true
}

// UpdateEndpoints takes over the platform's instance list.
func (n *Node) UpdateEndpoints(endpoints []route.Listing) { n.book.Update(endpoints) }

func (n *Node) somePeers(count int) []ident.Instance {
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

// gossip tells one random peer the own revision; before the first
// configuration it asks several.
func (n *Node) gossip() {
	if n.retired {
		return
	}
	count := 1
	if n.document == nil || !n.confirmed {
		count = announceFanout
	}
	for _, peer := range n.somePeers(count) {
		n.tellRevision(peer, !n.confirmed)
	}
}

func (n *Node) tellRevision(to ident.Instance, ask bool) {
	n.send(to, message.Envelope{Revision: &message.Revision{Revision: n.Revision(), Digest: n.digest, WantsRevision: ask}})
}

func (n *Node) handleRevision(from ident.Instance, m message.Revision) {
	switch {
	case m.Revision > n.Revision() || m.Revision == n.Revision() && m.Digest > n.digest:
		if !m.WantsRevision {
			n.tellRevision(from, true)
		}
	case n.document != nil && (m.Revision < n.Revision() || m.Digest < n.digest):
		n.sendConfiguration(from, m.Digest)
	default:
		n.confirmed = true
		if m.WantsRevision {
			n.tellRevision(from, false)
		}
	}
}

// keptDocument is an earlier configuration with its digest, which is too dear
// to be worked out for each message.
type keptDocument struct {
	document *configuration.Document
	digest   string
}

// sendConfiguration sends the difference to the receiver's document, if that
// was in force here lately, or the whole.
func (n *Node) sendConfiguration(to ident.Instance, has string) {
	for _, d := range n.earlier {
		if d.digest != has {
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
	if m.Delta == nil || n.document == nil || m.Delta.FromDigest != n.digest {
		// A later announcement brings the right difference.
		return
	}
	if d := m.Delta.Apply(n.document); d != nil {
		n.Configure(d)
	}
}

// register announces this process to the seats that have not answered yet.
func (n *Node) register() {
	if n.document == nil || n.retired {
		return
	}
	seats := n.memory.UnsyncedSeats()
	if len(seats) > registersAtOnce {
		first := n.config.Random.IntN(len(seats) - registersAtOnce + 1)
		seats = seats[first : first+registersAtOnce]
	}
	for _, seat := range seats {
		registration := n.memory.Registration()
		n.send(seat, message.Envelope{Register: &registration})
	}
}

func (n *Node) group(key ident.Key) []ident.Instance { return claim.VotingGroup(n.document, key) }

func (n *Node) handleRegister(from ident.Instance, m claim.Registration) {
	if n.document == nil || n.retired {
		return
	}
	claims, ok := n.memory.HandleRegistration(n.now(), m, n.group)
	if !ok {
		return
	}
	reply := message.Sync{Claims: claims}
	if claims.KnownEpoch == 0 {
		reply.Answers = n.remembered.EntriesMatching(func(key ident.Key) bool { return slices.Contains(n.group(key), m.Seat) })
		reply.BlameReports = n.blame.LatestReports(blamedInSync)
		reply.PredecessorMemory = n.bequeath(m.Seat, m.Epoch)
	}
	n.send(from, message.Envelope{Sync: &reply})
}

// handleSync takes the answers over before the claims: with the claims the
// seat counts as recovered.
func (n *Node) handleSync(m message.Sync) {
	for _, report := range m.BlameReports {
		n.blame.AddReport(n.now(), report)
	}
	n.remembered.Merge(m.Answers)
	if i := m.PredecessorMemory; i != nil && m.Claims.InReplyTo == n.memory.Registration() && n.memory.RestoreHandOver(i.Epoch, i.CompleteSince, i.Claims) {
		n.remembered.Merge(i.Answers)
	}
	if n.memory.HandleSync(m.Claims) {
		n.register()
	}
}
