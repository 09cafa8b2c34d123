package message

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/replica"
)

// Ping tells others that the sender lives, whom it knows, and what it knows
// of the platform and of endpoints.
type Ping struct {
	Member  membership.Member `json:"member"`
	Leaving bool              `json:"leaving,omitempty"`
	// KnownCount is how many members the sender knows, and Members are some of them.
	KnownCount int                      `json:"known"`
	Members    []membership.GossipEntry `json:"members,omitempty"`
	// AsOf is the platform's revision up to which the sender knows all.
	AsOf replica.Revision `json:"asOf"`
	// PlatformContactAge is how long ago the sender itself heard from the platform;
	// it is missing if it never has.
	PlatformContactAge *time.Duration `json:"platformAge,omitempty"`
	// OwnRequests counts the sender's requests by endpoint.
	OwnRequests map[ident.Endpoint]int `json:"running,omitempty"`
	// FleetRequests counts the requests of all instances, and Living the instances;
	// core members of a large fleet tell them, since the others do not hear
	// from everybody.
	FleetRequests map[ident.Endpoint]int `json:"fleet,omitempty"`
	AliveCount    int                    `json:"living,omitempty"`
	// BatcherStatuses tells of the services that the sender batches for.
	BatcherStatuses map[ident.Service]BatcherStatus `json:"batches,omitempty"`
	// RecentlyUnreachable tells how long ago endpoints could not be reached.
	RecentlyUnreachable map[ident.Endpoint]time.Duration `json:"unreached,omitempty"`
	// Crashes are the latest crashes of endpoints and what they were running.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash says that a content ran on an endpoint when that crashed. Its age is
// told, since the times of day of instances differ.
type Crash struct {
	Digest   ident.Digest   `json:"digest"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Service  ident.Service  `json:"service"`
	Age      time.Duration  `json:"age"`
}

// BatcherStatus is what an instance tells of a service that it batches for.
type BatcherStatus struct {
	// QueueWait is the time that a new piece waits for its turn.
	QueueWait time.Duration `json:"wait"`
	// Tenure is for how long the sender has batched for the service.
	Tenure time.Duration `json:"tenure"`
}

// Records passes published records on: all that changed above Base, up to AsOf.
type Records struct {
	Records []replica.Record `json:"records,omitempty"`
	Base    replica.Revision `json:"base"`
	AsOf    replica.Revision `json:"asOf"`
	// UnconfirmedFor is for how long removals in the records are doubtful: after an
	// outage of the platform, entries of living endpoints may have lapsed.
	UnconfirmedFor time.Duration `json:"doubt,omitempty"`
}

// ResultHandle names a stage result: the maker's address and a key there.
type ResultHandle string

// PieceID names one piece of a stage of a request.
type PieceID struct {
	Request ident.RequestID `json:"request"`
	Stage   int             `json:"stage"`
	Piece   int             `json:"piece"`
}

// StageWork asks a batcher for pieces of one stage of one request.
type StageWork struct {
	Request  ident.RequestID `json:"request"`
	Service  ident.Service   `json:"service"`
	Stage    int             `json:"stage"`
	Pieces   []int           `json:"pieces"`
	PieceKey string          `json:"key,omitempty"`
	Inputs   []ResultHandle  `json:"inputs,omitempty"`
	// ResultBytes is the approximate size of one result.
	ResultBytes int `json:"resultBytes"`
	// Consumers is how many pieces or endpoints fetch each result, and
	// InputBytes the size of each input.
	Consumers  int `json:"readers"`
	InputBytes int `json:"inputBytes,omitempty"`
	// InputCapacityLow is set if the inputs take room that is short.
	InputCapacityLow bool `json:"inputsScarce,omitempty"`
	// DownstreamServices lists the services that later stages of the request need.
	DownstreamServices []ident.Service `json:"chain,omitempty"`
	// TimeToDue is how much time is left, at sending, until the pieces have to be
	// done for the request to be on time; Deadline until it is of no use.
	TimeToDue      time.Duration `json:"due"`
	TimeToDeadline time.Duration `json:"deadline"`
	// Recompute is set if earlier results of these pieces are lost.
	Recompute bool `json:"anew,omitempty"`
	// Recovering is set if the request had results of later stages, or of these
	// pieces, that were lost.
	Recovering bool `json:"begun,omitempty"`
	// Weight ranks requests when not all can be on time.
	Weight float64 `json:"weight"`
	// PreferredDataCentre is the data centre where the results will be used.
	PreferredDataCentre ident.DataCentre `json:"prefer,omitempty"`
}

// PieceOutcome is what became of a piece.
type PieceOutcome string

// The outcomes of pieces.
const (
	// PieceDone has a result.
	PieceDone PieceOutcome = "done"
	// PieceExpired was not made since its deadline had passed.
	PieceExpired PieceOutcome = "late"
	// PieceInputGone lacks an input that does not exist any more.
	PieceInputGone PieceOutcome = "inputGone"
	// PieceMoved has to be sent to the service's new batcher.
	PieceMoved PieceOutcome = "moved"
	// PieceRefused was not begun, since it cannot be done in any useful time.
	PieceRefused PieceOutcome = "refused"
	// PieceFailed failed at the endpoint, repeatedly.
	PieceFailed PieceOutcome = "failed"
)

// PieceResult tells what became of a piece.
type PieceResult struct {
	ID      PieceID      `json:"id"`
	Outcome PieceOutcome `json:"outcome"`
	Handle  ResultHandle `json:"handle,omitempty"`
	// RetryAfter is, for a refused piece, when there will be room again.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// StageResults answers StageWork, piece by piece.
type StageResults struct {
	Service ident.Service `json:"service"`
	// CapacityLow is set while endpoints are short of room for results: they are
	// best freed as soon as they were fetched.
	CapacityLow bool          `json:"scarce,omitempty"`
	Results     []PieceResult `json:"results"`
}

// StageReservations tells the new batcher of a service how much room at its
// endpoints is taken by results that the sender had made.
type StageReservations struct {
	Service       ident.Service          `json:"service"`
	ReservedBytes map[ident.Endpoint]int `json:"booked"`
}

// StageInputsFetched tells that pieces are being made and their inputs were fetched.
type StageInputsFetched struct {
	Pieces []PieceID `json:"pieces"`
}

// StageRelease withdraws pieces that are not needed any more, and gives back
// results.
type StageRelease struct {
	Service      ident.Service   `json:"service"`
	Request      ident.RequestID `json:"request"`
	CancelPieces bool            `json:"withdrawn,omitempty"`
	Handles      []ResultHandle  `json:"handles,omitempty"`
}
