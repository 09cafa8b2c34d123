package matrix

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// tracedID selects the requests whose events are printed: those whose id
// contains it, or every request if it is "all".
var tracedID = flag.String("trace", "", "print the events of requests whose id contains this text, or of all requests with all")

// trace prints an event of a traced request.
func (sm *sim) trace(p *process, event string, key ident.Key, detail any) {
	if *tracedID == "" || *tracedID != "all" && !strings.Contains(string(key.ID), *tracedID) {
		return
	}
	data, _ := json.Marshal(detail)
	fmt.Printf("%10.1fms %s/%d %s %s\n", float64(sm.now().Sub(simulationStart).Microseconds())/1000, p.seat, p.incarnation, event, data)
}

// traceMessage prints a message between instances if it is about a traced
// request.
func (sm *sim) traceMessage(p *process, e message.Envelope) {
	switch {
	case e.Claim != nil:
		sm.trace(p, "claim to "+string(e.To), e.Claim.Key, e.Claim)
	case e.Vote != nil:
		sm.trace(p, "vote to "+string(e.To), e.Vote.Key, e.Vote)
	case e.Release != nil:
		sm.trace(p, "release to "+string(e.To), e.Release.Key, e.Release)
	case e.Follow != nil:
		sm.trace(p, "follow to "+string(e.To), e.Follow.Key, e.Follow)
	case e.FollowReply != nil:
		sm.trace(p, "follow reply to "+string(e.To), e.FollowReply.Key, e.FollowReply)
	case e.Settle != nil:
		sm.trace(p, "settle to "+string(e.To), e.Settle.Key, e.Settle.Answer)
	case e.Forward != nil:
		sm.trace(p, "forward to "+string(e.To), e.Forward.Submission.Key, e.Forward.Incarnation)
	}
}
