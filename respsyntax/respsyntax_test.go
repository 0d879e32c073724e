package respsyntax_test

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

const fields = "Content-Type: text/plain\r\nX-Y: 1\r\n"

func violationOf(t *testing.T, err error) *respsyntax.Violation {
	t.Helper()
	var v *respsyntax.Violation
	assert.Assert(t, errors.As(err, &v), "%v", err)
	return v
}

// scanWhole examines b at once and in pieces of each size, which must come to the same.
func scanWhole[S any](t *testing.T, b string, start func() *S, scan func(*S, []byte) (int, error)) (int, *S, error) {
	t.Helper()
	s := start()
	size, err := scan(s, []byte(b))
	for piece := 1; piece < len(b); piece++ {
		inPieces := start()
		for end := piece; ; end += piece {
			end = min(end, len(b))
			n, pieceErr := scan(inPieces, []byte(b[:end]))
			if n == 0 && pieceErr == nil && end < len(b) {
				continue
			}
			assert.Equal(t, n, size, "in pieces of %d bytes", piece)
			if err == nil {
				assert.NilError(t, pieceErr, "in pieces of %d bytes", piece)
				break
			}
			assert.DeepEqual(t, violationOf(t, pieceErr), violationOf(t, err))
			assert.Assert(t, piece > 1 || end == violationOf(t, err).Offset+1 || strings.HasSuffix(b[:end], "\r\n"),
				"refused after %d bytes, the invalid one is %d", end, violationOf(t, err).Offset)
			break
		}
	}
	return size, s, err
}

func TestValidHeads(t *testing.T) {
	tests := []struct {
		head   string
		status int
		length int64
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", 200, respsyntax.LengthUntilClose},
		{"HTTP/1.1 200 \r\n\r\n", 200, respsyntax.LengthUntilClose},
		{"HTTP/1.0 599 \xff\t~\r\n\r\n", 599, respsyntax.LengthUntilClose},
		{"HTTP/1.9 100 Continue\r\n" + fields + "\r\n", 100, respsyntax.LengthUntilClose},
		{"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", 200, 0},
		{"HTTP/1.1 200 OK\r\ncontent-LENGTH:\t0012 \t\r\n" + fields + "\r\n", 200, 12},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", 200, 1<<63 - 1},
		{"HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED\r\n\r\n", 200, respsyntax.LengthChunked},
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz:\r\nX: \x80\xff\t~\r\n\r\n", 200, respsyntax.LengthUntilClose},
	}
	for _, tc := range tests {
		t.Run(tc.head, func(t *testing.T) {
			size, h, err := scanWhole(t, tc.head+"more", func() *respsyntax.Head { return &respsyntax.Head{} }, (*respsyntax.Head).Scan)
			assert.NilError(t, err)
			assert.Equal(t, size, len(tc.head))
			assert.Equal(t, h.Status(), tc.status)
			assert.Equal(t, h.Length(), tc.length)
		})
	}
}

func TestViolationNamesRuleAndBytes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		head    string
		rule    respsyntax.Rule
		excerpt string
	}{
		{"\r\n" + ok + "\r\n", respsyntax.RuleStatusLine, "\r"},
		{"\n" + ok + "\r\n", respsyntax.RuleStatusLine, "\n"},
		{"HTTP/2.0 200 OK\r\n\r\n", respsyntax.RuleStatusLine, "HTTP/2"},
		{"HTTP/1.x 200 OK\r\n\r\n", respsyntax.RuleStatusLine, "HTTP/1.x"},
		{"HTTP/1.1  200 OK\r\n\r\n", respsyntax.RuleStatusCode, "HTTP/1.1  "},
		{"HTTP/1.1 000 X\r\n\r\n", respsyntax.RuleStatusCode, "HTTP/1.1 0"},
		{"HTTP/1.1 600 X\r\n\r\n", respsyntax.RuleStatusCode, "HTTP/1.1 6"},
		{"HTTP/1.1 20 X\r\n\r\n", respsyntax.RuleStatusCode, "HTTP/1.1 20 "},
		{"HTTP/1.1 2000 X\r\n\r\n", respsyntax.RuleStatusLine, "HTTP/1.1 2000"},
		{"HTTP/1.1 200\r\n\r\n", respsyntax.RuleStatusLine, "HTTP/1.1 200\r"},
		{"HTTP/1.1 200 O\x01\r\n\r\n", respsyntax.RuleStatusLine, "HTTP/1.1 200 O\x01"},
		{"HTTP/1.1 200 OK\n\r\n", respsyntax.RuleLineEnd, "HTTP/1.1 200 OK\n"},
		{"HTTP/1.1 200 OK\rX\r\n\r\n", respsyntax.RuleLineEnd, "HTTP/1.1 200 OK\rX"},
		{ok + fields + "X Y: 1\r\n\r\n", respsyntax.RuleFieldName, "X "},
		{ok + fields + "X-Y : 1\r\n\r\n", respsyntax.RuleFieldName, "X-Y "},
		{ok + fields + "X\x01Y: 1\r\n\r\n", respsyntax.RuleFieldName, "X\x01"},
		{ok + fields + "X-Y\r\n\r\n", respsyntax.RuleFieldName, "X-Y\r"},
		{ok + ": 1\r\n\r\n", respsyntax.RuleFieldName, ":"},
		{ok + "X: a\x00b\r\n\r\n", respsyntax.RuleFieldValue, "X: a\x00"},
		{ok + "X: a\x7fb\r\n\r\n", respsyntax.RuleFieldValue, "X: a\x7f"},
		{ok + "X: a\rb\r\n\r\n", respsyntax.RuleLineEnd, "X: a\rb"},
		{ok + "X: a\n\r\n", respsyntax.RuleLineEnd, "X: a\n"},
		{ok + "X: a\r\n\n", respsyntax.RuleLineEnd, "\n"},
		{ok + "X: a\r\n b\r\n\r\n", respsyntax.RuleLineFolding, " "},
		{ok + "\tX: a\r\n\r\n", respsyntax.RuleLineFolding, "\t"},
		{ok + "X: " + strings.Repeat("x", 100) + "\x00\r\n\r\n", respsyntax.RuleFieldValue, strings.Repeat("x", 63) + "\x00"},
		{ok + "Content-Length: +2\r\n\r\n", respsyntax.RuleContentLength, "Content-Length: +2"},
		{ok + "Content-Length: -2\r\n\r\n", respsyntax.RuleContentLength, "Content-Length: -2"},
		{ok + "Content-Length:\r\n\r\n", respsyntax.RuleContentLength, "Content-Length:"},
		{ok + "Content-Length: 2, 2\r\n\r\n", respsyntax.RuleContentLength, "Content-Length: 2, 2"},
		{ok + "Content-Length: 9223372036854775808\r\n\r\n", respsyntax.RuleContentLength, "Content-Length: 9223372036854775808"},
		{ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n", respsyntax.RuleContentLength, "Content-Length: 2"},
		{ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", respsyntax.RuleTransferEncoding, "Transfer-Encoding: gzip, chunked"},
		{ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", respsyntax.RuleTransferEncoding, "Transfer-Encoding: chunked"},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", respsyntax.RuleTransferEncoding, "Transfer-Encoding: chunked"},
		{ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", respsyntax.RuleFraming, "Content-Length: 2"},
	}
	for _, tc := range tests {
		t.Run(tc.head, func(t *testing.T) {
			_, _, err := scanWhole(t, tc.head, func() *respsyntax.Head { return &respsyntax.Head{} }, (*respsyntax.Head).Scan)
			v := violationOf(t, err)
			assert.Equal(t, v.Rule, tc.rule)
			assert.Equal(t, string(v.Excerpt), tc.excerpt)
			assert.ErrorContains(t, v, v.Rule.Source())
			assert.Assert(t, v.Rule.Source() != "", "no source of %s", v.Rule)
		})
	}
}

func TestChunkLines(t *testing.T) {
	tests := []struct {
		line  string
		first bool
		size  int64
		valid bool
	}{
		{"2\r\n", true, 2, true},
		{"\r\n2\r\n", false, 2, true},
		{"00fF\r\n", true, 255, true},
		{"000\r\n", true, 0, true},
		{"fffffffffffffff\r\n", true, 1<<60 - 1, true},
		{"2;a\r\n", true, 2, true},
		{"2 ; a = b;c=\"\\\"\t\xff\";d=e ;f\r\n", true, 2, true},
		{"2\r\n", false, 0, false},
		{"\n2\r\n", false, 0, false},
		{"\r\r\n2\r\n", false, 0, false},
		{"\r\n", true, 0, false},
		{"g\r\n", true, 0, false},
		{"-2\r\n", true, 0, false},
		{"0x2\r\n", true, 0, false},
		{"2\n", true, 0, false},
		{"2 \r\n", true, 0, false},
		{"2;\r\n", true, 0, false},
		{"2;a=\r\n", true, 0, false},
		{"2;a \r\n", true, 0, false},
		{"2;a=\"b\r\n", true, 0, false},
		{"2;a=\"\\\r\n", true, 0, false},
		{"2;a=\"b\"c\r\n", true, 0, false},
		{"2\rx", true, 0, false},
		{"1000000000000000\r\n", true, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.line, func(t *testing.T) {
			start := func() *respsyntax.ChunkLine {
				l := respsyntax.ChunkLine{}
				if tc.first {
					l = respsyntax.FirstChunkLine()
				}
				return &l
			}
			size, l, err := scanWhole(t, tc.line+"ok", start, (*respsyntax.ChunkLine).Scan)
			if !tc.valid {
				assert.Equal(t, violationOf(t, err).Rule, respsyntax.RuleChunk)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, size, len(tc.line))
			assert.Equal(t, l.Size(), tc.size)
		})
	}
}

func TestTrailers(t *testing.T) {
	tests := []struct {
		trailers string
		rule     respsyntax.Rule
	}{
		{"\r\n", ""},
		{fields + "\r\n", ""},
		{"X Y: 1\r\n\r\n", respsyntax.RuleFieldName},
		{"X\r\n\r\n", respsyntax.RuleFieldName},
		{"X: \x01\r\n\r\n", respsyntax.RuleFieldValue},
		{"X: 1\r\n 2\r\n\r\n", respsyntax.RuleLineFolding},
		{"X: 1\n\r\n", respsyntax.RuleLineEnd},
		{"\n", respsyntax.RuleLineEnd},
	}
	for _, tc := range tests {
		t.Run(tc.trailers, func(t *testing.T) {
			size, _, err := scanWhole(t, tc.trailers+"HTTP", func() *respsyntax.Trailers { return &respsyntax.Trailers{} }, (*respsyntax.Trailers).Scan)
			if tc.rule != "" {
				assert.Equal(t, violationOf(t, err).Rule, tc.rule)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, size, len(tc.trailers))
		})
	}
}

// A head as the targets of the platform send it.
const ordinaryHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 600\r\n" +
	"X-Attempt-Id: 9c41d07be2a35f68\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8\r\n" +
	"Keep-Alive: timeout=4\r\nDate: Mon, 07 Dec 2026 04:48:40 GMT\r\n\r\n"

func BenchmarkHead(b *testing.B) {
	head := []byte(ordinaryHead)
	b.SetBytes(int64(len(head)))
	b.ReportAllocs()
	for b.Loop() {
		var h respsyntax.Head
		if size, err := h.Scan(head); err != nil || size != len(head) {
			b.Fatal(size, err)
		}
	}
}
