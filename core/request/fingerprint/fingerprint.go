// Package fingerprint names a request by what its caller sends again unchanged, so that
// a request which is repeated under a new id is known as the same one at every node.
//
// # Usage
//
//	part := fingerprint.Of(clientAccount, []byte(method), []byte(target), body)
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"carobline.dev/core/id"
)

// prefix marks the name of a request. Callers can't give such a name to a part of a prompt,
// since the names in their lists end at the colon.
const prefix = "request:"

// hashBytes is how many bytes of the hash a name has.
const hashBytes = 12

// Of returns the name of a request of a client account with these fields. Requests of two
// client accounts never have the same name, so that no client account can have another's refused.
func Of(clientAccount id.ClientAccount, fields ...[]byte) id.PromptPart {
	hash := sha256.New()
	var length [8]byte
	write := func(field []byte) {
		// The lengths keep two lists of fields apart whose bytes are the same in a row.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // a hash returns no error
		_, _ = hash.Write(field)
	}
	write([]byte(clientAccount))
	for _, field := range fields {
		write(field)
	}
	return id.PromptPart(prefix + hex.EncodeToString(hash.Sum(nil)[:hashBytes]))
}

// Is reports whether a part is the name of a request, and not a part of prompts.
func Is(part id.PromptPart) bool { return strings.HasPrefix(string(part), prefix) }
