package config

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// CanonicalPath decodes the path of a request target, given without its query,
// for MatchRoute. It rejects paths that a target could interpret differently
// from the path that was matched: dot segments, empty segments, and slashes,
// backslashes or control characters in encoded form. Otherwise a caller could
// reach a keyed route under the rules of an open one.
func CanonicalPath(raw string) (string, error) {
	if !strings.HasPrefix(raw, "/") {
		return "", errors.New("the path does not start with /; send an absolute path")
	}
	segments := strings.Split(raw[1:], "/")
	for i, s := range segments {
		decoded, err := url.PathUnescape(s)
		if err != nil {
			return "", errors.New("the path has an invalid percent-encoding; correct the encoding")
		}
		last := i == len(segments)-1
		if !isCanonicalSegment(decoded, last) {
			return "", errors.New("the path has an empty, dot or ambiguous segment; send the path in canonical form")
		}
		segments[i] = decoded
	}
	return "/" + strings.Join(segments, "/"), nil
}

// isCanonicalSegment reports whether a decoded segment is unambiguous. An empty
// segment is accepted only at the end, as in "/a/".
func isCanonicalSegment(s string, last bool) bool {
	switch s {
	case "":
		return last
	case ".", "..":
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r == '/' || r == '\\' || r < ' ' || r == 0x7f
	})
}
