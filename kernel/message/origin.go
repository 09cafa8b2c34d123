package message

import (
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

// StreamOrigins tells a keeper which software versions began streams.
type StreamOrigins struct {
	Streams []origin.Entry `json:"streams"`
}

// LookupID numbers the origins that an instance asks for.
type LookupID uint64

// OriginRequest asks which software version began a stream: what the receiver remembers
// of it or, if Services is set, at which version their endpoints hold the prompt part.
type OriginRequest struct {
	ID       LookupID         `json:"id"`
	Stream   ident.RequestID  `json:"stream,omitempty"`
	Services []ident.Service  `json:"services,omitempty"`
	Part     ident.PromptPart `json:"part,omitempty"`
	// RanTokens is as in survey.Question; earlier builds do not set it.
	RanTokens int `json:"ranTokens,omitempty"`
}

// OriginReply answers an OriginRequest. Origin is nil if it is not known. Unsure is set if the sender
// lacks news that another surveyor may have; earlier builds do not set it.
type OriginReply struct {
	ID     LookupID       `json:"id"`
	Origin *origin.Origin `json:"origin,omitempty"`
	Unsure bool           `json:"unsure,omitempty"`
}
