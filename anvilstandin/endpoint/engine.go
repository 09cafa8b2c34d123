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

// completionRequest is the body of a call to an engine. Model, Stream and
// ResumePrefix are accepted and ignored.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      uint64 `json:"seed"`
	// ResumeFrom is the index of the first token to send.
	ResumeFrom   int    `json:"resume_from"`
	ResumePrefix string `json:"resume_prefix"`
}

type completionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// completionUsage counts tokens; a token of the prompt is taken as four bytes.
type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// completionChunk is one event of the response stream: a token, or at the end the
// usage, the endpoint's load and the duration of the call.
type completionChunk struct {
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
	Load    *loadReport        `json:"load,omitempty"`
	Millis  float64            `json:"millis,omitempty"`
}

// complete simulates a model engine: it processes the prompt, faster if the prefix
// is cached, and streams tokens, more slowly the more streams are running.
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
	u := completionUsage{PromptTokens: len(in.Prompt) / 4}
	millis := e.service.CallMillis
	if e.lookUpPrefix(in.Prompt) {
		u.CachedTokens = min(cachedPrefixBytes, len(in.Prompt)) / 4
		millis *= 1 - prefixSavingShare
	}
	simulateWork(millis, f)
	if e.injectFailure(w, Faults{FailShare: f.FailShare}) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	count := script.TokenCount(in.Prompt, in.MaxTokens)
	disconnectAt := -1
	if rand.Float64() < f.BreakShare {
		disconnectAt = in.ResumeFrom + rand.IntN(max(count-in.ResumeFrom, 1))
	}
	for i := in.ResumeFrom; i < count; i++ {
		e.simulateToken(f)
		if r.Context().Err() != nil {
			return
		}
		if i == disconnectAt {
			closeConnection(w)
			return
		}
		sendChunk(w, completionChunk{Choices: []completionChoice{{Text: script.Token(in.Prompt, in.Seed, i)}}})
		u.CompletionTokens++
	}
	report := e.lastLoadReport()
	sendChunk(w, completionChunk{Choices: []completionChoice{}, Usage: &u, Load: &report, Millis: float64(time.Since(start)) / float64(time.Millisecond)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// simulateToken sleeps for the time of one token.
func (e *Endpoint) simulateToken(f Faults) {
	e.mutex.Lock()
	streams := e.runningCalls
	e.mutex.Unlock()
	simulateWork(e.service.TokenMillis*(1+slowdownSharePerStream*float64(max(streams-1, 0))), f)
}

// lookUpPrefix reports whether the prompt's prefix is in the cache, and adds it if
// not.
func (e *Endpoint) lookUpPrefix(prompt string) bool {
	prefix := prompt[:min(cachedPrefixBytes, len(prompt))]
	e.mutex.Lock()
	defer e.mutex.Unlock()
	hit := e.cachedPrefixes[prefix]
	if len(e.cachedPrefixes) >= maxCachedPrefixes {
		clear(e.cachedPrefixes)
	}
	e.cachedPrefixes[prefix] = true
	if !hit {
		e.cacheEvents.add(prefix)
	}
	return hit
}

func sendChunk(w http.ResponseWriter, c completionChunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("chunk cannot be encoded: " + err.Error())
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
