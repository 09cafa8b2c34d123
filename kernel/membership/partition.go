package membership

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// partitionEvidence is the number of members of a data centre that must be
	// unreachable, without a sign of life from another one there, before the
	// whole data centre counts as partitioned from this instance. More than one,
	// since a single member may have stopped.
	partitionEvidence = 2
	// partitionReportTTL is how long the report of another member of the own data
	// centre counts. Members that notice a partition themselves renew it.
	partitionReportTTL = 1500 * time.Millisecond
	// recentSign is the age up to which a sign of life from a data centre
	// outweighs such a report, and messages that could not be delivered: they may
	// have been sent before it.
	recentSign = 650 * time.Millisecond
	// probePeriod is the interval at which one member of each partitioned data
	// centre is pinged, to notice the end of the partition.
	probePeriod = 400 * time.Millisecond
)

// centreLink is what is known of the connection to another data centre.
type centreLink struct {
	// lastSignAt is when a member there last gave a direct sign of life.
	// unreachable holds the members that messages could not be delivered to since.
	lastSignAt  time.Time
	unreachable value.Set[ident.Instance]
	// reportedAt is when reportedBy, a member of the own data centre, last
	// reported that it cannot reach the data centre.
	reportedAt time.Time
	reportedBy ident.Instance
}

func (t *Table) link(dataCentre ident.DataCentre) *centreLink {
	l := t.links[dataCentre]
	if l == nil {
		l = &centreLink{unreachable: value.NewSet[ident.Instance]()}
		t.links[dataCentre] = l
	}
	return l
}

// recordUnreachable records that a message to a member could not be delivered.
func (l *centreLink) recordUnreachable(now time.Time, name ident.Instance) {
	if now.Sub(l.lastSignAt) > recentSign {
		l.unreachable.Add(name)
	}
}

// recordSign records a direct sign of life from the data centre. It returns true
// if that may have ended a partition.
func (l *centreLink) recordSign(now time.Time) bool {
	doubted := len(l.unreachable) > 0 || !l.reportedAt.IsZero()
	l.lastSignAt, l.reportedAt = now, time.Time{}
	clear(l.unreachable)
	return doubted
}

// Partitioned reports whether this instance can probably not reach a data
// centre. This is known sooner than for each of its members, of which gossip
// still tells that they are alive.
func (t *Table) Partitioned(now time.Time, dataCentre ident.DataCentre) bool {
	l := t.links[dataCentre]
	if l == nil || dataCentre == t.config.Self.DataCentre {
		return false
	}
	return t.noticedPartition(dataCentre) || now.Sub(l.reportedAt) <= partitionReportTTL
}

// noticedPartition reports whether this instance itself has noticed that it
// cannot reach a data centre.
func (t *Table) noticedPartition(dataCentre ident.DataCentre) bool {
	return dataCentre != t.config.Self.DataCentre && len(t.link(dataCentre).unreachable) >= partitionEvidence
}

// PartitionedDataCentres returns the data centres that this instance can
// probably not reach.
func (t *Table) PartitionedDataCentres(now time.Time) value.Set[ident.DataCentre] {
	partitioned := value.NewSet[ident.DataCentre]()
	for dataCentre := range t.links {
		if t.Partitioned(now, dataCentre) {
			partitioned.Add(dataCentre)
		}
	}
	return partitioned
}

// NoticedPartitions returns the data centres that this instance itself cannot
// reach, for the other members of its own data centre. It returns none if there
// is no other data centre that it reaches: then they may reach more than it does.
func (t *Table) NoticedPartitions() []ident.DataCentre {
	var noticed []ident.DataCentre
	others := 0
	for _, dataCentre := range value.SortedKeys(t.links) {
		if dataCentre == t.config.Self.DataCentre {
			continue
		}
		others++
		if t.noticedPartition(dataCentre) {
			noticed = append(noticed, dataCentre)
		}
	}
	if len(noticed) == others {
		return nil
	}
	return noticed
}

// RecordPartitions records which data centres a member of the own data centre
// cannot reach. A recent sign of life to this instance outweighs the report.
func (t *Table) RecordPartitions(now time.Time, by Member, dataCentres []ident.DataCentre) {
	if by.DataCentre != t.config.Self.DataCentre {
		return
	}
	for _, dataCentre := range dataCentres {
		if l := t.link(dataCentre); dataCentre != t.config.Self.DataCentre && now.Sub(l.lastSignAt) > recentSign {
			l.reportedAt, l.reportedBy = now, by.Name
			t.core = nil
		}
	}
	for dataCentre, l := range t.links {
		if l.reportedBy == by.Name && !l.reportedAt.IsZero() && !slices.Contains(dataCentres, dataCentre) {
			l.reportedAt = time.Time{}
			t.core = nil
		}
	}
}

// probeTargets returns one member of each partitioned data centre, a different
// one each time, once per probePeriod.
func (t *Table) probeTargets(now time.Time) []PeerAddress {
	partitioned := t.PartitionedDataCentres(now)
	if len(partitioned) == 0 || now.Sub(t.probedAt) < probePeriod {
		return nil
	}
	t.probedAt = now
	members := map[ident.DataCentre][]ident.Instance{}
	for name, k := range t.members {
		if partitioned.Has(k.DataCentre) {
			members[k.DataCentre] = append(members[k.DataCentre], name)
		}
	}
	var targets []PeerAddress
	for _, dataCentre := range value.SortedKeys(members) {
		names := members[dataCentre]
		slices.Sort(names)
		t.pingCursor++
		name := names[t.pingCursor%len(names)]
		targets = append(targets, PeerAddress{Name: name, Address: t.members[name].Address})
	}
	return targets
}
