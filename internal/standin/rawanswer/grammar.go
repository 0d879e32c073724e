package rawanswer

import (
	"regexp"
	"strconv"
	"strings"
)

// The grammar of RFC 9110 and RFC 9112 as regular expressions, for comparison with the code
// under test. Bytes are matched as characters of ISO 8859-1.
const (
	token     = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	text      = `[\t -~\x{80}-\x{ff}]*`
	fieldLine = "(?:" + token + ":" + text + "\r\n)"
	quoted    = `"(?:[\t !#-\[\]-~\x{80}-\x{ff}]|\\[\t -~\x{80}-\x{ff}])*"`
	chunkExt  = `(?:[\t ]*;[\t ]*` + token + `(?:[\t ]*=[\t ]*(?:` + token + `|` + quoted + `))?)*`
)

var (
	headGrammar    = regexp.MustCompile("^HTTP/1\\.([0-9]) ([1-5][0-9][0-9]) " + text + "\r\n(" + fieldLine + "*)\r\n")
	chunkGrammar   = regexp.MustCompile("^(0*)([0-9A-Fa-f]*)" + chunkExt + "\r\n")
	trailerGrammar = regexp.MustCompile("^" + fieldLine + "*\r\n")
	lengthGrammar  = regexp.MustCompile("^[0-9]+$")
)

// Parsed is a valid answer.
type Parsed struct {
	// Status is the status of the final head, and Body the body.
	Status int
	Body   string
	// Unframed is set if the body ends with the connection.
	Unframed bool
}

// Parse reads an answer to a GET request from the beginning of data, after which the
// connection ends. It returns false unless data begins with a whole valid answer.
func Parse(data []byte) (Parsed, bool) {
	chars := make([]rune, len(data))
	for i, c := range data {
		chars[i] = rune(c)
	}
	rest := string(chars)
	for {
		m := headGrammar.FindStringSubmatch(rest)
		if m == nil {
			return Parsed{}, false
		}
		rest = rest[len(m[0]):]
		length, chunked, ok := framing(m[3], m[1] == "0")
		status, _ := strconv.Atoi(m[2])
		switch {
		case !ok || status == 101: // a switch of protocols that nobody asked for
			return Parsed{}, false
		case status < 200:
			continue
		case status == 204 || status == 304:
			return Parsed{Status: status}, true
		case chunked:
			body, ok := parseChunks(rest)
			return Parsed{Status: status, Body: bytesOf(body)}, ok
		case length < 0:
			return Parsed{Status: status, Body: bytesOf(rest), Unframed: true}, true
		}
		body := bytesOf(rest)
		if int64(len(body)) < length {
			return Parsed{}, false
		}
		return Parsed{Status: status, Body: body[:length]}, true
	}
}

// framing returns what the fields tell about the end of the body; length is -1 if there is
// none.
func framing(fields string, http10 bool) (length int64, chunked, ok bool) {
	length = -1
	for _, line := range strings.SplitAfter(fields, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.Trim(value, " \t\r\n")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			if !lengthGrammar.MatchString(value) || err != nil || length >= 0 {
				return 0, false, false
			}
			length = n
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || chunked || http10 {
				return 0, false, false
			}
			chunked = true
		}
	}
	return length, chunked, length < 0 || !chunked
}

func parseChunks(rest string) (body string, ok bool) {
	var b strings.Builder
	for {
		m := chunkGrammar.FindStringSubmatch(rest)
		if m == nil || m[1]+m[2] == "" || len(m[2]) > 15 {
			return "", false
		}
		rest = rest[len(m[0]):]
		if m[2] == "" {
			return b.String(), trailerGrammar.MatchString(rest)
		}
		size, _ := strconv.ParseInt(m[2], 16, 64)
		chars := []rune(rest)
		if size+2 > int64(len(chars)) || chars[size] != '\r' || chars[size+1] != '\n' {
			return "", false
		}
		b.WriteString(string(chars[:size]))
		rest = string(chars[size+2:])
	}
}

func bytesOf(s string) string {
	b := make([]byte, 0, len(s))
	for _, c := range s {
		b = append(b, byte(c))
	}
	return string(b)
}
