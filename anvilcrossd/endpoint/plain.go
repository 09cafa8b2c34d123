package endpoint

import (
	"context"
	"encoding/json"
	"io"

	"anvilcross/kernel/node"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/stage"
)

// Pools and plain services share one exchange: a JSON body each way.
func init() {
	kinds["pool"] = exchangePlain
	kinds["service"] = exchangePlain
}

type plainRequest struct {
	Key   string `json:"key"`
	Stage string `json:"stage"`
	Input string `json:"input"`
}

type plainReply struct {
	Output string      `json:"output"`
	Millis float64     `json:"millis"`
	Load   *loadReport `json:"load"`
}

func exchangePlain(ctx context.Context, c *Client, call node.Call) (node.CallResult, *failure) {
	body := plainRequest{Key: call.Key.String(), Stage: string(call.Stage), Input: call.Input}
	response, fail := c.post(ctx, call, stage.Lookup(call.Kind).Path, body)
	if fail != nil {
		return node.CallResult{}, fail
	}
	defer closeBody(response)
	var reply plainReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return node.CallResult{}, &failure{node.ConnectionBroken, "reply ended early: " + err.Error()}
	}
	return node.CallResult{Output: reply.Output, Cost: spend.Cost{EndpointMillis: reply.Millis}, Load: reply.Load.load()}, nil
}
