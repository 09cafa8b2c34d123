package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"anvilcross/kernel/node"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/stage"
)

// Engines use the common completions protocol with server-sent events. A broken
// stream is resumed with resume_from, the number of tokens received, and
// resume_prefix, their text.
func init() { exchangeFuncs["engine"] = exchangeEngine }

type completionRequest struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Stream       bool   `json:"stream"`
	Seed         uint64 `json:"seed"`
	ResumeFrom   int    `json:"resume_from,omitempty"`
	ResumePrefix string `json:"resume_prefix,omitempty"`
}

type completionChunk struct {
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage"`
	Load    *loadReport        `json:"load"`
	Millis  float64            `json:"millis"`
}

type completionChoice struct {
	Text string `json:"text"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

func exchangeEngine(ctx context.Context, c *Client, call node.Call) (node.CallResult, *failure) {
	body := completionRequest{
		Model:        call.Model,
		Prompt:       call.Input,
		MaxTokens:    call.MaxTokens,
		Stream:       true,
		Seed:         call.Seed,
		ResumeFrom:   len(call.ReceivedTokens),
		ResumePrefix: strings.Join(call.ReceivedTokens, ""),
	}
	response, fail := c.post(ctx, call, stage.Lookup(call.Kind).Path, body)
	if fail != nil {
		return node.CallResult{}, fail
	}
	defer closeBody(response)
	var result node.CallResult
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return result, nil
		}
		var chunk completionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return result, &failure{node.ConnectionBroken, fmt.Sprintf("stream chunk is not valid JSON: %v", err)}
		}
		c.applyChunk(call, &chunk, &result)
	}
	return result, &failure{node.ConnectionBroken, fmt.Sprintf("stream ended before its end marker: %v", lines.Err())}
}

// applyChunk reports the tokens of a chunk, and copies its cost and load to the
// result.
func (c *Client) applyChunk(call node.Call, chunk *completionChunk, result *node.CallResult) {
	for _, choice := range chunk.Choices {
		if choice.Text != "" {
			c.config.Callbacks.OnToken(call.ID, choice.Text)
		}
	}
	if u := chunk.Usage; u != nil {
		result.Cost = spend.Cost{
			EndpointMillis:  chunk.Millis,
			PromptTokens:    u.PromptTokens - u.CachedTokens,
			CachedTokens:    u.CachedTokens,
			GeneratedTokens: u.CompletionTokens,
		}
	}
	if chunk.Load != nil {
		result.Load = chunk.Load.toLoad()
	}
}
