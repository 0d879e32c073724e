package respsyntax

import (
	"fmt"
	"strconv"
)

// Rule names a rule that a response violates. The package documentation lists them with
// their sources.
type Rule string

// The rules.
const (
	RuleStatusLine       Rule = "status-line"
	RuleStatusCode       Rule = "status-code"
	RuleFieldName        Rule = "field-name"
	RuleFieldValue       Rule = "field-value"
	RuleLineFolding      Rule = "line-folding"
	RuleLineEnd          Rule = "line-end"
	RuleContentLength    Rule = "content-length"
	RuleTransferEncoding Rule = "transfer-encoding"
	RuleFraming          Rule = "framing"
	RuleChunk            Rule = "chunk"
	RuleUnsupported      Rule = "unsupported"
)

var sources = map[Rule]string{
	RuleStatusLine:       "RFC 9112 section 4",
	RuleStatusCode:       "RFC 9110 section 15",
	RuleFieldName:        "RFC 9112 section 5.1",
	RuleFieldValue:       "RFC 9110 section 5.5",
	RuleLineFolding:      "RFC 9112 section 5.2",
	RuleLineEnd:          "RFC 9112 section 2.2",
	RuleContentLength:    "RFC 9112 section 6.3",
	RuleTransferEncoding: "RFC 9112 section 6.1",
	RuleFraming:          "RFC 9112 section 6.3",
	RuleChunk:            "RFC 9112 section 7.1",
	RuleUnsupported:      "package respsyntax",
}

// Source returns where the rule stands.
func (r Rule) Source() string { return sources[r] }

// maxExcerpt is the size in bytes of the excerpt in a Violation.
const maxExcerpt = 64

// Violation reports a response that violates a rule. It implements error.
type Violation struct {
	Rule Rule
	// Excerpt is the line with the invalid byte up to that byte, or the end of it, as
	// received; 64 bytes at most.
	Excerpt []byte
	// Offset is the position of the invalid byte in its part of the response: a head, a
	// chunk's line or the trailers.
	Offset int
}

// NewViolation returns a Violation for b[at], where the line with it begins at b[line].
func NewViolation(r Rule, b []byte, line, at int) *Violation {
	end := min(at+1, len(b))
	line = max(line, end-maxExcerpt)
	return &Violation{Rule: r, Excerpt: append([]byte(nil), b[line:end]...), Offset: at}
}

// Quoted returns the excerpt in printable ASCII, in quotes.
func (v *Violation) Quoted() string { return strconv.QuoteToASCII(string(v.Excerpt)) }

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invalid response: rule %s (%s) violated at byte %d, the last one of %s", v.Rule, v.Rule.Source(), v.Offset, v.Quoted())
}
