// Package ticket issues and checks request ids that name their only possible
// runner. A ticket carries the seat and the incarnation that issued it, with
// a keyed signature, so that no instance has to remember unused tickets.
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

// Prefix starts every ticket; callers' own ids may not start with it.
const Prefix = "tk."

const (
	fieldCount     = 6
	signatureBytes = 12
)

// Ticket is the decoded content of a ticket id.
type Ticket struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Sequence    uint64
	IssuedAt    time.Time
}

// HasPrefix reports whether an id claims to be a ticket.
func HasPrefix(id ident.RequestID) bool { return strings.HasPrefix(string(id), Prefix) }

// Encode returns the signed id of a ticket for a workspace. The issue time is
// kept to the millisecond.
func Encode(key []byte, workspace ident.Workspace, t Ticket) ident.RequestID {
	body := fmt.Sprintf("%s%s.%x.%x.%x", Prefix, t.Instance, uint64(t.Incarnation), t.Sequence, t.IssuedAt.UnixMilli())
	return ident.RequestID(body + "." + sign(key, workspace, body))
}

// Decode checks the signature of a ticket id and returns its content. The
// error says which part is wrong.
func Decode(key []byte, workspace ident.Workspace, id ident.RequestID) (Ticket, error) {
	text := string(id)
	parts := strings.Split(text, ".")
	if len(parts) != fieldCount || !HasPrefix(id) {
		return Ticket{}, fmt.Errorf("ticket %q does not have %d fields", text, fieldCount)
	}
	cut := strings.LastIndexByte(text, '.')
	if !hmac.Equal([]byte(sign(key, workspace, text[:cut])), []byte(text[cut+1:])) {
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

func sign(key []byte, workspace ident.Workspace, body string) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(workspace))
	m.Write([]byte{0})
	m.Write([]byte(body))
	return hex.EncodeToString(m.Sum(nil)[:signatureBytes])
}
