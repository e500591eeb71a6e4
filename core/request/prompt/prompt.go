// Package prompt reads the parts that a request's prompt consists of, from a list of their
// names or from the messages of a chat.
//
// # Usage
//
//	shared := prompt.Messages(body.Messages)
//	shared := prompt.Shared(request.Header["Prompt-Parts"]) // "a:800,b:410,c:250": a and b
package prompt

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"carobline.dev/core/id"
)

const (
	// maxNameBytes is the length of the longest name of a part that is kept as it is. A
	// longer one is replaced by hashBytes of its hash.
	maxNameBytes = 32
	hashBytes    = 12
	// maxParts bounds the parts that are kept of one prompt.
	maxParts = 4096
)

// Shared returns the parts of a prompt that other requests may have too: all but the last,
// which belongs to the request or its session. The list has the form NAME:TOKENS,NAME:TOKENS,
// in any number of lines. Names are compared without regard to case.
func Shared(lines []string) []id.PromptPart {
	if len(lines) == 0 {
		return nil
	}
	entries := strings.Split(strings.Join(lines, ","), ",")
	var shared []id.PromptPart
	seen := map[id.PromptPart]bool{"": true}
	for _, entry := range entries[:len(entries)-1] {
		part := partOf(entry)
		if !seen[part] && len(shared) < maxParts {
			seen[part] = true
			shared = append(shared, part)
		}
	}
	return shared
}

// Messages returns the parts of a chat's prompt that other requests may have too: all messages
// but the last. It returns none for JSON that isn't a list.
func Messages(list json.RawMessage) []id.PromptPart {
	var messages []json.RawMessage
	if json.Unmarshal(list, &messages) != nil || len(messages) == 0 {
		return nil
	}
	var shared []id.PromptPart
	seen := map[id.PromptPart]bool{}
	for _, message := range messages[:min(len(messages)-1, maxParts)] {
		var compact bytes.Buffer
		if json.Compact(&compact, message) != nil {
			continue
		}
		if part := hashed(compact.Bytes()); !seen[part] {
			seen[part] = true
			shared = append(shared, part)
		}
	}
	return shared
}

// partOf returns the part that an entry of the list names, or "" for none.
func partOf(entry string) id.PromptPart {
	name, _, _ := strings.Cut(entry, ":")
	name = strings.ToLower(strings.TrimSpace(name))
	if len(name) <= maxNameBytes {
		return id.PromptPart(name)
	}
	return hashed([]byte(name))
}

func hashed(data []byte) id.PromptPart {
	hash := sha256.Sum256(data)
	return id.PromptPart("sha256-" + hex.EncodeToString(hash[:hashBytes]))
}
