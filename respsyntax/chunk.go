package respsyntax

// chunkState is the position in a chunk's line.
type chunkState uint8

const (
	atDataEnd     chunkState = iota // CR of the end of the chunk before
	atDataFeed                      // LF of the end of the chunk before
	atSize                          // first digit
	inSize                          // further digits
	beforeExt                       // blanks before a semicolon
	beforeExtName                   // after the semicolon
	inExtName
	afterExtName // blanks before an equals sign or a semicolon
	beforeExtValue
	inExtToken
	inExtQuoted
	inExtEscape
	afterExtQuoted
	atChunkFeed // after the CR that ends the line
	atChunkEnd
)

// maxSizeDigits is the number of significant hexadecimal digits that fit into an int64.
const maxSizeDigits = 15

// ChunkLine examines the line ahead of a chunk's data, together with the CRLF that ends the
// data of the chunk before. The zero value is ready for all chunks but the first.
type ChunkLine struct {
	state chunkState
	n     int
	line  int
	size  int64
	// digits counts the significant digits of the size.
	digits int
}

// FirstChunkLine returns a ChunkLine for the first chunk.
func FirstChunkLine() ChunkLine { return ChunkLine{state: atSize} }

// Size returns the size of the chunk's data in bytes, 0 for the last chunk. The line must
// have been examined to its end.
func (l *ChunkLine) Size() int64 { return l.size }

// Scan examines b, which holds the bytes received so far, from the same first byte in each
// call. It returns the size of the line, or 0 if more bytes are needed, or a *Violation.
func (l *ChunkLine) Scan(b []byte) (size int, err error) {
	for ; l.n < len(b) && l.state != atChunkEnd; l.n++ {
		if !l.step(b[l.n]) {
			return 0, NewViolation(RuleChunk, b, l.line, l.n)
		}
		if l.state == atSize {
			l.line = l.n + 1
		}
	}
	if l.state != atChunkEnd {
		return 0, nil
	}
	return l.n, nil
}

// step moves on by one byte. It returns false if the byte is not valid there.
func (l *ChunkLine) step(c byte) bool {
	switch l.state {
	case atDataEnd:
		return l.expect(c, '\r', atDataFeed)
	case atDataFeed:
		return l.expect(c, '\n', atSize)
	case atSize:
		l.state = inSize
		return is(c, hexByte) && l.addDigit(c)
	case inSize:
		return is(c, hexByte) && l.addDigit(c) || l.afterExt(c)
	case beforeExt:
		return isBlank(c) || l.expect(c, ';', beforeExtName)
	case beforeExtName:
		if is(c, tokenByte) {
			l.state = inExtName
			return true
		}
		return isBlank(c)
	case inExtName:
		if isBlank(c) {
			l.state = afterExtName
			return true
		}
		return is(c, tokenByte) || l.expect(c, '=', beforeExtValue) || l.afterExt(c)
	case afterExtName:
		return isBlank(c) || l.expect(c, '=', beforeExtValue) || l.expect(c, ';', beforeExtName)
	case beforeExtValue:
		if is(c, tokenByte) {
			l.state = inExtToken
			return true
		}
		return isBlank(c) || l.expect(c, '"', inExtQuoted)
	case inExtToken:
		return is(c, tokenByte) || l.afterExt(c)
	case inExtQuoted:
		return l.expect(c, '"', afterExtQuoted) || l.expect(c, '\\', inExtEscape) || is(c, textByte)
	case inExtEscape:
		l.state = inExtQuoted
		return is(c, textByte)
	case afterExtQuoted:
		return l.afterExt(c)
	case atChunkFeed:
		return l.expect(c, '\n', atChunkEnd)
	}
	return false
}

// expect moves to the state next if c is the byte that leads there.
func (l *ChunkLine) expect(c, want byte, next chunkState) bool {
	if c != want {
		return false
	}
	l.state = next
	return true
}

// afterExt moves on after a size or a complete extension.
func (l *ChunkLine) afterExt(c byte) bool {
	if isBlank(c) {
		l.state = beforeExt
		return true
	}
	return l.expect(c, ';', beforeExtName) || l.expect(c, '\r', atChunkFeed)
}

// addDigit adds a digit to the size. It returns false if the size is too large.
func (l *ChunkLine) addDigit(c byte) bool {
	digit := int64(c - '0')
	if c > '9' {
		digit = int64(c|0x20-'a') + 10
	}
	l.size = l.size<<4 | digit
	if l.size > 0 {
		l.digits++
	}
	return l.digits <= maxSizeDigits
}
