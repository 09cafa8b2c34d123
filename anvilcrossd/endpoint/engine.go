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

// Engines speak the usual completions protocol with server-sent events. A
// broken stream is resumed with resume_from, the number of tokens that were
// received, and the text of those.
func init() { kinds["engine"] = exchangeEngine }

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
	doneMark   = []byte("[DONE]")
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
		if bytes.Equal(data, doneMark) {
			return result, nil
		}
		var chunk completionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return result, &failure{node.ConnectionBroken, fmt.Sprintf("unreadable chunk: %v", err)}
		}
		c.readChunk(call, &chunk, &result)
	}
	return result, &failure{node.ConnectionBroken, fmt.Sprintf("stream ended early: %v", lines.Err())}
}

// readChunk passes a chunk's tokens on and notes its account of the work.
func (c *Client) readChunk(call node.Call, chunk *completionChunk, result *node.CallResult) {
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
		result.Load = chunk.Load.load()
	}
}
