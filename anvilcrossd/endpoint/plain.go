package endpoint

import (
	"context"
	"encoding/json"
	"io"

	"anvilcross/kernel/node"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/stage"
)

// Pools and plain services use the same protocol: a JSON body in the request
// and one in the response.
func init() {
	exchangeFuncs["pool"] = exchangePlain
	exchangeFuncs["service"] = exchangePlain
}

type plainRequest struct {
	Key   string `json:"key"`
	Stage string `json:"stage"`
	Input string `json:"input"`
}

type plainResponse struct {
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
	var result plainResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return node.CallResult{}, &failure{node.ConnectionBroken, "response is incomplete or not valid JSON: " + err.Error()}
	}
	return node.CallResult{Output: result.Output, Cost: spend.Cost{EndpointMillis: result.Millis}, Load: result.Load.toLoad()}, nil
}
