package matrix

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// traced is the request id whose messages are printed.
var traced = flag.String("trace", "", "print what happens to the request with this id")

func (w *world) trace(p *process, what string, key ident.Key, detail any) {
	if *traced == "" || *traced != "all" && !strings.Contains(string(key.ID), *traced) {
		return
	}
	data, _ := json.Marshal(detail)
	fmt.Printf("%10.1fms %s/%d %s %s\n", float64(w.now().Sub(epoch).Microseconds())/1000, p.seat, p.incarnation, what, data)
}

// traceMessage prints a message about the traced request.
func (w *world) traceMessage(p *process, e message.Envelope) {
	switch {
	case e.Claim != nil:
		w.trace(p, "claim to "+string(e.To), e.Claim.Key, e.Claim)
	case e.Vote != nil:
		w.trace(p, "vote to "+string(e.To), e.Vote.Key, e.Vote)
	case e.Release != nil:
		w.trace(p, "release to "+string(e.To), e.Release.Key, e.Release)
	case e.Follow != nil:
		w.trace(p, "follow to "+string(e.To), e.Follow.Key, e.Follow)
	case e.FollowReply != nil:
		w.trace(p, "followed to "+string(e.To), e.FollowReply.Key, e.FollowReply)
	case e.Settle != nil:
		w.trace(p, "settle to "+string(e.To), e.Settle.Key, e.Settle.Answer)
	case e.Forward != nil:
		w.trace(p, "forward to "+string(e.To), e.Forward.Submission.Key, e.Forward.Incarnation)
	}
}
