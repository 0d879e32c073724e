// Package answer builds and verifies the response bodies of the fake target.
// From a body, the receiver can tell which request it belongs to and whether it
// is complete.
//
// A body consists of the request id, a newline, padding up to the requested
// size and the hexadecimal SHA-256 of all preceding bytes.
package answer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

const (
	sumSize = 2 * sha256.Size
	filler  = "0123456789abcdef"
)

// Body returns the response body for request id, with at least size bytes
// before the checksum.
func Body(id string, size int) []byte {
	b := append([]byte(id), '\n')
	for len(b) < size {
		b = append(b, filler...)
	}
	sum := sha256.Sum256(b)
	return hex.AppendEncode(b, sum[:])
}

// Check returns the request id of body and whether body is complete and
// unaltered.
func Check(body []byte) (id string, complete bool) {
	line, _, found := bytes.Cut(body, []byte{'\n'})
	if !found || len(body) < sumSize {
		return string(line), false
	}
	content := body[:len(body)-sumSize]
	sum := sha256.Sum256(content)
	want := hex.AppendEncode(nil, sum[:])
	return string(line), bytes.Equal(want, body[len(content):])
}
