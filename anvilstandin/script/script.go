// Package script defines what the stand-in endpoints answer, as pure functions
// of their input, so that a load tool can tell a whole answer to its own
// request from any other.
package script

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in a prompt makes an engine crash, as a request does that drives
// a real engine out of memory.
const CrashMarker = "crash-the-engine"

var words = strings.Fields("in loving memory of those who gave so that others may read heal and gather here with thanks from all families of this place for ever")

// PoolOutput is what a pool answers.
func PoolOutput(stage, input string) string {
	return fmt.Sprintf("%s:%016x", stage, xxhash.Sum64String(stage+"\x00"+input))
}

// ServiceOutput is the receipt of a plain service.
func ServiceOutput(stage, key, input string) string {
	return fmt.Sprintf("%s done for %s (%08x)", stage, key, uint32(xxhash.Sum64String(input)))
}

// TokenCount is how many tokens an engine generates: three quarters of the
// limit or more, depending on the prompt.
func TokenCount(prompt string, limit int) int {
	if limit < 4 {
		return limit
	}
	spread := limit / 4
	return limit - int(xxhash.Sum64String(prompt)%uint64(spread+1))
}

// Token is the token at an index of an engine's answer.
func Token(prompt string, seed uint64, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", prompt, seed, index))
	return words[h%uint64(len(words))] + " "
}

// EngineOutput is an engine's whole answer.
func EngineOutput(prompt string, seed uint64, limit int) string {
	var b strings.Builder
	for i := range TokenCount(prompt, limit) {
		b.WriteString(Token(prompt, seed, i))
	}
	return b.String()
}
