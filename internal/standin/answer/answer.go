// Package answer makes the bodies that the stand-in target sends, so that
// whoever receives one can tell whether it is whole and whose it is.
//
// A body is the request's id, a newline, filler up to the wanted size and the
// hexadecimal SHA-256 of all that stands before it.
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

// Body returns the body of the answer to request id. size is the least number
// of bytes before the checksum.
func Body(id string, size int) []byte {
	b := append([]byte(id), '\n')
	for len(b) < size {
		b = append(b, filler...)
	}
	sum := sha256.Sum256(b)
	return hex.AppendEncode(b, sum[:])
}

// Check reports whether body is whole, and the id that it answers.
func Check(body []byte) (id string, whole bool) {
	line, _, found := bytes.Cut(body, []byte{'\n'})
	if !found || len(body) < sumSize {
		return string(line), false
	}
	rest := body[:len(body)-sumSize]
	sum := sha256.Sum256(rest)
	want := hex.AppendEncode(nil, sum[:])
	return string(line), bytes.Equal(want, body[len(rest):])
}
