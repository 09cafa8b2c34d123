package message

import (
	"slices"

	"github.com/juju/errors"

	"anvilcross/kernel/placement"
)

// maxPiecesPerMessage limits the pieces that one message names.
const maxPiecesPerMessage = 20_000

// maxKnownMembers limits the number of members that an instance says it knows, by which
// others divide the fleet's limits.
const maxKnownMembers = 10_000

// maxPartCrashes limits the crashes in one ping, maxPartsPerCrash the prompt parts of
// each, and maxPartRuns the answers that go on, as well as the quarantines that have ended.
const (
	maxPartCrashes   = 64
	maxPartRuns      = 1000
	maxPartsPerCrash = 1000
)

// maxListedPerPing limits the endpoints, services and members in each list of one ping.
const maxListedPerPing = 256

// CheckGateway returns an error if a message of package gateway has values that
// no instance sends, for which its handlers are not prepared.
func (e Envelope) CheckGateway() error {
	switch {
	case e.Ping != nil:
		return e.Ping.check()
	case e.StageWork != nil:
		return e.StageWork.check()
	case e.StageResults != nil:
		for _, r := range e.StageResults.Results {
			if err := r.ID.check(); err != nil {
				return err
			}
		}
	case e.PermitRequest != nil:
		if err := e.PermitRequest.Cold.Check(); err != nil {
			return errors.Annotatef(err, "permit for endpoint %q", e.PermitRequest.Endpoint)
		}
		return errors.Annotatef(e.PermitRequest.Limit.Check(), "permit for endpoint %q", e.PermitRequest.Endpoint)
	case e.PlacementRequest != nil:
		return e.PlacementRequest.Check()
	case e.RecordsRequest != nil && e.RecordsRequest.Above < 0:
		return errors.New("request for records above a negative revision")
	case e.StreamOrigins != nil:
		for _, o := range e.StreamOrigins.Streams {
			if o.Age < 0 {
				return errors.Errorf("negative age of stream %q", o.Stream)
			}
		}
	case e.PermitReply != nil && e.PermitReply.RetryAfter < 0:
		return errors.New("negative wait for a permit")
	case e.PermitReply != nil:
		return errors.Annotate(e.PermitReply.Warm.Check(), "permit")
	case e.StageInputsFetched != nil:
		if n := len(e.StageInputsFetched.InputsRevisions); n > 0 && n != len(e.StageInputsFetched.Pieces) {
			return errors.Errorf("%d revisions of the inputs of %d pieces", n, len(e.StageInputsFetched.Pieces))
		}
		for _, id := range e.StageInputsFetched.Pieces {
			if err := id.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Ping) check() error {
	if p.KnownCount < 0 || p.KnownCount > maxKnownMembers {
		return errors.Errorf("%d known members", p.KnownCount)
	}
	for _, m := range p.Members {
		if m.Age < 0 {
			return errors.Errorf("negative age of member %q", m.Name)
		}
	}
	for e, n := range p.OwnRequests {
		if n < 0 {
			return errors.Errorf("negative number of requests at endpoint %q", e)
		}
	}
	if len(p.PartCrashes) > maxPartCrashes || len(p.PartRuns) > maxPartRuns {
		return errors.Errorf("%d crashes, %d runs", len(p.PartCrashes), len(p.PartRuns))
	}
	if len(p.ExoneratedParts) > maxPartRuns {
		return errors.Errorf("%d quarantines that have ended", len(p.ExoneratedParts))
	}
	for part, age := range p.ExoneratedParts {
		if age < 0 {
			return errors.Errorf("negative age of the end of quarantine of part %q", part)
		}
	}
	for _, r := range p.PartRuns {
		if r.Length < 0 || r.Age < 0 {
			return errors.Errorf("run %q: length %v, age %v", r.ID, r.Length, r.Age)
		}
	}
	for _, c := range p.PartCrashes {
		if c.Age < 0 || max(len(c.Parts), len(c.Retried)) > maxPartsPerCrash {
			return errors.Errorf("crash at %q: age %v, %d parts", c.Address, c.Age, len(c.Parts))
		}
	}
	if len(p.SaidToLeave) > maxListedPerPing || len(p.Resting) > maxListedPerPing {
		return errors.Errorf("%d endpoints that leave, %d that want a rest", len(p.SaidToLeave), len(p.Resting))
	}
	for e, r := range p.Resting {
		if r.Left < 0 {
			return errors.Errorf("negative rest of endpoint %q", e)
		}
	}
	if len(p.LostServices) > maxListedPerPing || len(p.PathMembers) > maxListedPerPing {
		return errors.Errorf("%d lost services, %d members with paths", len(p.LostServices), len(p.PathMembers))
	}
	if err := placement.CheckReports(p.Speeds, p.SpeedRatios); err != nil {
		return err
	}
	return p.checkLimits()
}

func (p *Ping) checkLimits() error {
	for e, r := range p.Limits {
		if err := r.Check(); err != nil {
			return errors.Annotatef(err, "limit of endpoint %q", e)
		}
	}
	if len(p.Cold) > maxListedPerPing {
		return errors.Errorf("%d cold endpoints", len(p.Cold))
	}
	for e, r := range p.Cold {
		if err := r.Check(); err != nil {
			return errors.Annotatef(err, "cold endpoint %q", e)
		}
	}
	if l := p.PermitLease; p.PermitClock < 0 || l != nil && (l.ClockAt < 0 || l.TTL < 0) {
		return errors.New("negative time of a lease")
	}
	return nil
}

func (w *StageWork) check() error {
	switch {
	case w.Stage < 0:
		return errors.Errorf("request %q: negative stage", w.Request)
	case len(w.Pieces) > maxPiecesPerMessage:
		return errors.Errorf("request %q: %d pieces", w.Request, len(w.Pieces))
	case len(w.Pieces) > 0 && slices.Min(w.Pieces) < 0:
		return errors.Errorf("request %q: negative piece", w.Request)
	case slices.Contains(w.Inputs, ""):
		return errors.Errorf("request %q: an input of stage %d is empty", w.Request, w.Stage)
	case w.ResultBytes < 0 || w.InputBytes < 0 || w.Consumers < 0:
		return errors.Errorf("request %q: negative size", w.Request)
	case len(w.DownstreamPieces) > 0 && slices.Min(w.DownstreamPieces) < 0 || w.FirstStages < 0:
		return errors.Errorf("request %q: negative pieces of later stages", w.Request)
	}
	return nil
}

func (id PieceID) check() error {
	if id.Stage < 0 || id.Piece < 0 {
		return errors.Errorf("request %q: negative stage or piece", id.Request)
	}
	return nil
}
