// Package ticket encodes and verifies request ids that name the only process
// that may run the request. A ticket contains the seat and the incarnation that
// issued it and is signed with a key, so that no instance has to store unused
// tickets.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"anvilcross/kernel/ident"
)

// Prefix starts every ticket. Ids chosen by callers must not start with it.
const Prefix = "tk."

const (
	fieldCount     = 6  // prefix, seat, incarnation, sequence number, issue time, signature
	signatureBytes = 12 // length of the truncated HMAC-SHA256
)

// Ticket is the decoded content of a ticket id.
type Ticket struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Sequence    uint64
	IssuedAt    time.Time
}

// HasPrefix reports whether an id starts with Prefix. The signature is not
// checked.
func HasPrefix(id ident.RequestID) bool { return strings.HasPrefix(string(id), Prefix) }

// Encode returns the signed id of a ticket for a workspace. The issue time is
// encoded in milliseconds.
func Encode(key []byte, workspace ident.Workspace, t Ticket) ident.RequestID {
	body := fmt.Sprintf("%s%s.%x.%x.%x", Prefix, t.Instance, uint64(t.Incarnation), t.Sequence, t.IssuedAt.UnixMilli())
	return ident.RequestID(body + "." + sign(key, workspace, body))
}

// Decode checks the signature of a ticket id and returns its content. The error
// says whether the number of fields, the signature or a field is wrong.
func Decode(key []byte, workspace ident.Workspace, id ident.RequestID) (Ticket, error) {
	text := string(id)
	parts := strings.Split(text, ".")
	if len(parts) != fieldCount || !HasPrefix(id) {
		return Ticket{}, fmt.Errorf("ticket %q does not have %d fields", text, fieldCount)
	}
	lastDot := strings.LastIndexByte(text, '.')
	if !hmac.Equal([]byte(sign(key, workspace, text[:lastDot])), []byte(text[lastDot+1:])) {
		return Ticket{}, fmt.Errorf("ticket %q is not signed for workspace %q", text, workspace)
	}
	var numbers [3]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(parts[2+i], 16, 64)
		if err != nil {
			return Ticket{}, fmt.Errorf("ticket %q: field %d: %w", text, 2+i, err)
		}
		numbers[i] = n
	}
	return Ticket{
		Instance:    ident.Instance(parts[1]),
		Incarnation: ident.Incarnation(numbers[0]),
		Sequence:    numbers[1],
		IssuedAt:    time.UnixMilli(int64(numbers[2])),
	}, nil
}

// sign returns the truncated HMAC-SHA256 of a workspace and the unsigned part of
// a ticket id, in hexadecimal.
func sign(key []byte, workspace ident.Workspace, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(workspace))
	mac.Write([]byte{0})
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:signatureBytes])
}
