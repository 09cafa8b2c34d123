// Package script defines the outputs of the simulated endpoints as pure functions
// of their input, so that a load tool can compute the whole answer to its request
// and recognise any other.
package script

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in a prompt makes the engine crash, as a request does that makes a
// real engine run out of memory.
const CrashMarker = "crash-the-engine"

// vocabulary holds the words that tokens are taken from.
var vocabulary = strings.Fields("in loving memory of those who gave so that others may read heal and gather here with thanks from all families of this place for ever")

// PoolOutput returns the output of a stage pool.
func PoolOutput(stage, input string) string {
	return fmt.Sprintf("%s:%016x", stage, xxhash.Sum64String(stage+"\x00"+input))
}

// ServiceOutput returns the output of a plain service.
func ServiceOutput(stage, key, input string) string {
	return fmt.Sprintf("%s done for %s (%08x)", stage, key, uint32(xxhash.Sum64String(input)))
}

// TokenCount returns how many tokens an engine generates: three quarters of the
// limit or more, depending on the prompt, or the limit if it is below 4.
func TokenCount(prompt string, limit int) int {
	if limit < 4 {
		return limit
	}
	spread := limit / 4
	return limit - int(xxhash.Sum64String(prompt)%uint64(spread+1))
}

// Token returns the token at an index of an engine's output, with a trailing
// space.
func Token(prompt string, seed uint64, index int) string {
	hash := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", prompt, seed, index))
	return vocabulary[hash%uint64(len(vocabulary))] + " "
}

// EngineOutput returns the whole output of an engine.
func EngineOutput(prompt string, seed uint64, limit int) string {
	var b strings.Builder
	for i := range TokenCount(prompt, limit) {
		b.WriteString(Token(prompt, seed, i))
	}
	return b.String()
}
