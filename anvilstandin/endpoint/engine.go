package endpoint

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"anvilcross/anvilstandin/script"
)

type completionRequest struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Stream       bool   `json:"stream"`
	Seed         uint64 `json:"seed"`
	ResumeFrom   int    `json:"resume_from"`
	ResumePrefix string `json:"resume_prefix"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Load    *load    `json:"load,omitempty"`
	Millis  float64  `json:"millis,omitempty"`
}

// complete plays a model engine: prompt processing that a cached prefix
// shortens, then tokens that slow down as the batch grows.
func (e *Endpoint) complete(w http.ResponseWriter, r *http.Request, f Faults) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(in.Prompt, script.CrashMarker) {
		e.crash()
		return
	}
	start := time.Now()
	u := usage{PromptTokens: len(in.Prompt) / 4}
	millis := e.service.CallMillis
	if e.touchPrefix(in.Prompt) {
		u.CachedTokens = min(prefixBytes, len(in.Prompt)) / 4
		millis *= 1 - prefixSaving
	}
	busy(millis, f)
	if e.spoil(w, Faults{FailShare: f.FailShare}) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	count := script.TokenCount(in.Prompt, in.MaxTokens)
	breakAt := -1
	if rand.Float64() < f.BreakShare {
		breakAt = in.ResumeFrom + rand.IntN(max(count-in.ResumeFrom, 1))
	}
	for i := in.ResumeFrom; i < count; i++ {
		e.paceToken(f)
		if r.Context().Err() != nil {
			return
		}
		if i == breakAt {
			hijack(w)
			return
		}
		send(w, chunk{Choices: []choice{{Text: script.Token(in.Prompt, in.Seed, i)}}})
		u.CompletionTokens++
	}
	l := e.report()
	send(w, chunk{Choices: []choice{}, Usage: &u, Load: &l, Millis: float64(time.Since(start)) / float64(time.Millisecond)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Endpoint) paceToken(f Faults) {
	e.mutex.Lock()
	batch := e.running
	e.mutex.Unlock()
	busy(e.service.TokenMillis*(1+batchSlowdown*float64(max(batch-1, 0))), f)
}

// touchPrefix reports whether the prompt's prefix was cached, and caches it.
func (e *Endpoint) touchPrefix(prompt string) bool {
	prefix := prompt[:min(prefixBytes, len(prompt))]
	e.mutex.Lock()
	defer e.mutex.Unlock()
	hit := e.prefixes[prefix]
	if len(e.prefixes) >= maxPrefixes {
		clear(e.prefixes)
	}
	e.prefixes[prefix] = true
	if !hit {
		e.cached.add(prefix)
	}
	return hit
}

func send(w http.ResponseWriter, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("chunk cannot be encoded: " + err.Error())
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
