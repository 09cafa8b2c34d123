package message

import (
	"strings"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/warmup"
)

// Ping tells other instances that the sender is alive, which members it knows,
// and what it knows about the platform and about endpoints.
type Ping struct {
	Member  membership.Member `json:"member"`
	Leaving bool              `json:"leaving,omitempty"`
	// KnownCount is the number of members that the sender knows. Members holds
	// some of them.
	KnownCount int `json:"known"`
	// CoreDigest is a hash of the core members that the sender of a ping knows, in a
	// large fleet.
	CoreDigest uint16                   `json:"core,omitempty"`
	Members    []membership.GossipEntry `json:"members,omitempty"`
	// AsOf is the platform revision up to which the sender has all records.
	AsOf replica.Revision `json:"asOf"`
	// Version is the version of the configuration that is in force at the sender.
	Version int64 `json:"version,omitempty"`
	// PlatformContactAge is how long ago the sender itself heard from the
	// platform, or nil if it never has.
	PlatformContactAge *time.Duration `json:"platformAge,omitempty"`
	// OwnRequests counts the sender's running requests by endpoint.
	OwnRequests map[ident.Endpoint]int `json:"running,omitempty"`
	// FleetRequests counts the running requests of all instances by endpoint, and
	// AliveCount the alive instances. Core members of a large fleet send them,
	// since other members do not get pings from all instances.
	FleetRequests map[ident.Endpoint]int `json:"fleet,omitempty"`
	AliveCount    int                    `json:"living,omitempty"`
	// BatcherStatuses holds the pools that the sender batches for.
	BatcherStatuses map[ident.Pool]BatcherStatus `json:"batches,omitempty"`
	// RecentlyUnreachable is how long ago the sender or an instance that told it
	// failed to reach each endpoint.
	RecentlyUnreachable map[ident.Endpoint]time.Duration `json:"unreached,omitempty"`
	// LostServices holds the services to which the sender has no path.
	LostServices []ident.Service `json:"lostServices,omitempty"`
	// PathMembers holds some members that report no lost path to the sender, a core member
	// of a large fleet, while others do.
	PathMembers []ident.Instance `json:"pathMembers,omitempty"`
	// LostDataCentres holds the data centres that the sender itself cannot reach.
	LostDataCentres []ident.DataCentre `json:"lostCentres,omitempty"`
	// CrashReports holds reports of the latest crashes of endpoints, one for each
	// content that was running.
	CrashReports []CrashReport `json:"crashes,omitempty"`
	// TellsContents is set beside CrashReports if PartCrashes and the fields below hold
	// contents too. The sender is of an earlier build if it is not.
	TellsContents bool `json:"tellsContents,omitempty"`
	// PartCrashes and SoundParts are what the sender has learned lately of crashes and
	// of prompt parts that did not cause them: the time since a request with the part
	// was answered completely, and in PartRuns unfinished answers. QuarantinedParts holds the
	// parts that must not run, with the time since they were quarantined, ExoneratedParts
	// those whose quarantine evidence has ended, with the time since then.
	PartCrashes      []PartCrash                        `json:"partCrashes,omitempty"`
	SoundParts       map[ident.PromptPart]time.Duration `json:"soundParts,omitempty"`
	PartRuns         []PartRun                          `json:"partRuns,omitempty"`
	QuarantinedParts map[ident.PromptPart]time.Duration `json:"quarantinedParts,omitempty"`
	// PartProbes holds for how many periods of its quarantine a request with a part has been
	// allowed, as far as the sender knows; earlier builds do not tell.
	PartProbes      map[ident.PromptPart]int           `json:"partProbes,omitempty"`
	ExoneratedParts map[ident.PromptPart]time.Duration `json:"exoneratedParts,omitempty"`
	// Limits holds the rate limits of endpoints that the sender knows. PermitClock and
	// PermitLease are set with them: the sender's clock, and to whom it leases its
	// share of them.
	Limits      map[ident.Endpoint]ratelimit.Report `json:"limits,omitempty"`
	PermitClock time.Duration                       `json:"permitClock,omitempty"`
	PermitLease *ratelimit.Lease                    `json:"permitLease,omitempty"`
	// Cold holds what the sender has learned lately of cold endpoints, beside their records.
	Cold map[ident.Endpoint]warmup.Report `json:"cold,omitempty"`
	// Speeds holds what the sender has just observed of the speed of endpoints, and
	// SpeedRatios, from a core member of a large fleet, how much longer than the median of
	// their service work takes at endpoints where that differs.
	Speeds      map[ident.Endpoint]placement.SpeedReport `json:"speeds,omitempty"`
	SpeedRatios map[ident.Endpoint]float64               `json:"speedRatios,omitempty"`
	// SaidToLeave holds endpoints that have said in an answer that they leave, with the
	// start time of the process in milliseconds since the Unix epoch.
	SaidToLeave map[ident.Endpoint]int64 `json:"saidToLeave,omitempty"`
	// Resting holds the endpoints that want no requests for a while.
	Resting map[ident.Endpoint]endpoints.RestReport `json:"resting,omitempty"`
}

// RecordsRequest asks a member for the platform's records above a revision, which it has told that
// it has. Earlier builds ignore it, and send them in answer to pings.
type RecordsRequest struct {
	Above replica.Revision `json:"above"`
}

// PermitID numbers the permits that an instance asks for.
type PermitID uint64

// PermitRequest asks the issuer for a permit to send one request to an endpoint with a
// rate limit. Limit is what the sender knows of that.
type PermitRequest struct {
	ID       PermitID         `json:"id"`
	Endpoint ident.Endpoint   `json:"endpoint"`
	Limit    ratelimit.Report `json:"limit"`
	// Cold is what the sender knows of an endpoint that it takes for cold, else nil.
	Cold *warmup.Report `json:"cold,omitempty"`
}

// PermitReply answers a PermitRequest. If no permit was issued, there may be one after
// RetryAfter.
type PermitReply struct {
	ID         PermitID      `json:"id"`
	Issued     bool          `json:"issued,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Cold is set if the permit was counted against the rate limit of cold endpoints, which
	// earlier builds do not know. Warm is what the sender knows of an endpoint that the
	// receiver takes for cold and the sender does not, else nil.
	Cold bool           `json:"cold,omitempty"`
	Warm *warmup.Report `json:"warm,omitempty"`
}

// PartCrash says which prompt parts an endpoint was about to answer when it crashed.
type PartCrash struct {
	Address string             `json:"address"`
	Age     time.Duration      `json:"age"`
	Parts   []ident.PromptPart `json:"parts"`
	// Ran holds, in the order of Parts, how long the longest answer with each had been
	// running. It is not known if Ran has another length.
	Ran []time.Duration `json:"ran,omitempty"`
	// Retried holds the parts of requests that had come from another endpoint, whose exchange
	// with them had broken. Earlier versions do not set it.
	Retried []ident.PromptPart `json:"retried,omitempty"`
}

// PartRun is an answer with a prompt part that an endpoint has been giving for Length, with an
// event Age ago. ID identifies the attempt in the fleet.
type PartRun struct {
	ID      string           `json:"id"`
	Part    ident.PromptPart `json:"part"`
	Address string           `json:"address"`
	Length  time.Duration    `json:"length"`
	Age     time.Duration    `json:"age"`
}

// CrashReport says that a content was running on an endpoint when the endpoint
// crashed. It carries an age instead of a time, since the clocks of instances
// differ.
type CrashReport struct {
	Digest   ident.Digest   `json:"digest"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Service  ident.Service  `json:"service"`
	Age      time.Duration  `json:"age"`
}

// BatcherStatus is the state of a pool that the sender batches for.
type BatcherStatus struct {
	// QueueWait is the estimated wait of a new piece in the pool's queue.
	QueueWait time.Duration `json:"wait"`
	// Tenure is how long the sender has batched for the pool.
	Tenure time.Duration `json:"tenure"`
	// CallTimeRatio is how long the calls of the pool take at present, relative to their
	// expected time. Earlier versions do not set it.
	CallTimeRatio float64 `json:"callTimeRatio,omitempty"`
}

// Records passes on the platform's published records. Instances of an earlier version
// send and expect no LiveKeys.
type Records struct {
	replica.Delta
	// UnconfirmedFor is how long removals in the records remain unconfirmed:
	// after an outage of the platform, entries of running endpoints may have
	// expired. Zero means that they are confirmed.
	UnconfirmedFor time.Duration `json:"doubt,omitempty"`
	// Carried is what the store said before it was restored from a copy and does not say
	// now; nil if there is nothing.
	Carried *Carried `json:"carried,omitempty"`
}

// Carried is what earlier eras of the platform's store said.
type Carried struct {
	// Configuration is the record of the configuration in force; nil if the store has it.
	Configuration *replica.Record `json:"configuration,omitempty"`
	// Endpoints holds the endpoints that have left or are leaving.
	Endpoints map[ident.Endpoint]CarriedEndpoint `json:"endpoints,omitempty"`
}

// CarriedEndpoint is the latest that an era of the platform's store said of an endpoint.
// The start time and the sequence number tell the age of a listing.
type CarriedEndpoint struct {
	Era               replica.Era `json:"era"`
	StartedUnixMillis int64       `json:"started"`
	Sequence          int64       `json:"sequence"`
	Leaving           bool        `json:"leaving,omitempty"`
	Removed           bool        `json:"removed,omitempty"`
}

// ResultHandle identifies a stage result: the address of the endpoint that
// holds it, a slash, and a key at that endpoint.
type ResultHandle string

// Address returns the address of the endpoint that holds the result.
func (h ResultHandle) Address() string {
	address, _, _ := strings.Cut(string(h), "/")
	return address
}

// PieceID identifies one piece of a stage of a request.
type PieceID struct {
	Request ident.RequestID `json:"request"`
	Stage   int             `json:"stage"`
	Piece   int             `json:"piece"`
}

// StageWork asks a batcher to have pieces of one stage of a request computed.
type StageWork struct {
	Request ident.RequestID `json:"request"`
	Service ident.Service   `json:"service"`
	// PoolDataCentre restricts the endpoints to those of one data centre; empty
	// if any endpoint of the service may compute the pieces.
	PoolDataCentre ident.DataCentre `json:"poolCentre,omitempty"`
	Stage          int              `json:"stage"`
	Pieces         []int            `json:"pieces"`
	PieceKey       string           `json:"key,omitempty"`
	Inputs         []ResultHandle   `json:"inputs,omitempty"`
	// ResultBytes is the approximate size of one result.
	ResultBytes int `json:"resultBytes"`
	// Consumers is how often each result will be fetched, and InputBytes the
	// approximate size of each input.
	Consumers  int `json:"readers"`
	InputBytes int `json:"inputBytes,omitempty"`
	// InputsRevision rises each time inputs of the stage are replaced. Earlier versions do not
	// set it.
	InputsRevision int `json:"inputsRevision,omitempty"`
	// InputsReleased is set if inputs have been freed because the pieces had fetched them.
	// Pieces that the batcher does not have cannot be computed from them. Earlier versions do
	// not set it.
	InputsReleased bool `json:"inputsReleased,omitempty"`
	// InputCapacityLow is set if an endpoint that holds inputs is short of result
	// capacity.
	InputCapacityLow bool `json:"inputsScarce,omitempty"`
	// DownstreamServices holds the services of the stages with pieces that depend
	// on this one, directly or indirectly: one entry for each path to such a stage,
	// so a service may repeat. It is set only for stages that depend on no other.
	// The batcher holds the pieces while one of these services is congested, and
	// takes the length as the number of calls still to come after this stage.
	DownstreamServices []ident.Service `json:"chain,omitempty"`
	// DownstreamPieces holds the number of pieces of each stage in DownstreamServices, in
	// the same order. Earlier versions do not set it.
	DownstreamPieces []int `json:"downstreamPieces,omitempty"`
	// FirstStages is the number of stages without inputs for which the request submits
	// pieces to this pool at the same time. The batcher decides on them together. Earlier
	// versions do not set it.
	FirstStages int `json:"firstStages,omitempty"`
	// Workspace is the workspace of the request, empty if its route has none.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// TimeToDue is the time from sending until the pieces have to be done for the
	// request to be on time, TimeToDeadline that until they are of no use.
	TimeToDue      time.Duration `json:"due"`
	TimeToDeadline time.Duration `json:"deadline"`
	// Lost holds the results of the stage that were lost, also before the last submission, which
	// may not have arrived. The batcher must not answer with them. Earlier versions do not set it.
	Lost []ResultHandle `json:"lost,omitempty"`
	// Recompute is set if earlier results of these pieces were lost since the last submission. The
	// batcher must not answer with any that it has.
	Recompute bool `json:"anew,omitempty"`
	// Recovering is set if the request has lost results of these pieces or of
	// later stages before, or takes up a stream that has begun.
	Recovering bool `json:"begun,omitempty"`
	// Weight is the importance of the request when not all can be on time.
	Weight float64 `json:"weight"`
	// AcceptsRedirect is set if the receiver may return the pieces with the name of
	// the pool's batcher. It is not if another instance has named the receiver, nor
	// by earlier versions, which would send them back at once.
	AcceptsRedirect bool `json:"acceptsRedirect,omitempty"`
	// PreferredDataCentre is the data centre where the results will probably be
	// used.
	PreferredDataCentre ident.DataCentre `json:"prefer,omitempty"`
}

// Pool returns the pool whose endpoints compute the pieces.
func (w StageWork) Pool() ident.Pool {
	return ident.Pool{Service: w.Service, DataCentre: w.PoolDataCentre}
}

// PieceOutcome is the outcome of a piece that was submitted to a batcher.
type PieceOutcome string

// The outcomes of pieces.
const (
	// PieceDone means that the piece has a result.
	PieceDone PieceOutcome = "done"
	// PieceExpired means that the deadline passed before the piece was computed.
	PieceExpired PieceOutcome = "late"
	// PieceInputGone means that an input no longer exists.
	PieceInputGone PieceOutcome = "inputGone"
	// PieceMoved means that the piece has to be sent to the pool's new batcher.
	PieceMoved PieceOutcome = "moved"
	// PieceRefused means that the piece was not started, since it could not be
	// done in time to be useful.
	PieceRefused PieceOutcome = "refused"
	// PieceFailed means that the piece failed repeatedly at endpoints, or that
	// the queue of its service was full.
	PieceFailed PieceOutcome = "failed"
)

// PieceResult is the outcome of one piece. Handle is set if the piece is done.
type PieceResult struct {
	ID      PieceID      `json:"id"`
	Outcome PieceOutcome `json:"outcome"`
	Handle  ResultHandle `json:"handle,omitempty"`
	// InputsRevision is that of the inputs of which one is gone, zero from earlier versions.
	InputsRevision int `json:"inputsRevision,omitempty"`
	// RetryAfter is the delay after which the caller of a refused piece should
	// retry.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// StageResults reports the outcomes of pieces to the instance that submitted
// them. One StageWork may be answered by several of them.
type StageResults struct {
	Service        ident.Service    `json:"service"`
	PoolDataCentre ident.DataCentre `json:"poolCentre,omitempty"`
	// CapacityLow is set while the endpoint is short of result capacity. Results
	// should then be freed as soon as they have been fetched.
	CapacityLow bool `json:"scarce,omitempty"`
	// Batcher is the instance to which moved pieces have to be sent, as far as
	// the sender knows; it may be empty.
	Batcher ident.Instance `json:"batcher,omitempty"`
	Results []PieceResult  `json:"results"`
}

// StageReservations tells the new batcher of a pool how many bytes of result
// capacity the sender, its previous batcher, has reserved at each endpoint.
type StageReservations struct {
	Service        ident.Service          `json:"service"`
	PoolDataCentre ident.DataCentre       `json:"poolCentre,omitempty"`
	ReservedBytes  map[ident.Endpoint]int `json:"booked"`
}

// StageInputsFetched tells that pieces are being computed and that their inputs
// have been fetched.
type StageInputsFetched struct {
	Pieces []PieceID `json:"pieces"`
	// InputsRevisions holds the InputsRevision of the inputs of each piece, in the same order.
	// Earlier versions do not set it.
	InputsRevisions []int `json:"inputsRevisions,omitempty"`
}

// StageWithdrawal withdraws the pieces of a stage whose inputs no longer exist. The batcher does
// not send them to an endpoint until they are submitted again. Earlier versions ignore it.
type StageWithdrawal struct {
	Service        ident.Service    `json:"service"`
	PoolDataCentre ident.DataCentre `json:"poolCentre,omitempty"`
	Request        ident.RequestID  `json:"request"`
	Stage          int              `json:"stage"`
}

// Pool returns the pool that has the pieces.
func (w StageWithdrawal) Pool() ident.Pool {
	return ident.Pool{Service: w.Service, DataCentre: w.PoolDataCentre}
}

// StageRelease frees results of a request and, if CancelPieces is set, cancels
// its pieces at the pool.
type StageRelease struct {
	Service        ident.Service    `json:"service"`
	PoolDataCentre ident.DataCentre `json:"poolCentre,omitempty"`
	Request        ident.RequestID  `json:"request"`
	CancelPieces   bool             `json:"withdrawn,omitempty"`
	Handles        []ResultHandle   `json:"handles,omitempty"`
}

// Pool returns the pool that has the pieces.
func (r StageRelease) Pool() ident.Pool {
	return ident.Pool{Service: r.Service, DataCentre: r.PoolDataCentre}
}
