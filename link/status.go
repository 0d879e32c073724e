package link

import (
	"bufio"
	"strings"

	"github.com/pkg/errors"
)

// statusPrefixBytes is the length of a status line up to the end of its status.
const statusPrefixBytes = len("HTTP/1.1 200")

// checkStatus fails if the next bytes are the beginning of a status line whose status is
// not between 100 and 599. fasthttp accepts any number there and returns 200 for 000. Other
// malformed lines are left to the parser.
func checkStatus(br *bufio.Reader) error {
	line, err := br.Peek(statusPrefixBytes)
	if err != nil || !strings.HasPrefix(string(line), "HTTP/1.") {
		return nil //nolint:nilerr // the parser reads the same bytes and reports the error
	}
	if status := line[statusPrefixBytes-3:]; status[0] < '1' || status[0] > '5' {
		return errors.Errorf("status %q is not between 100 and 599", status)
	}
	return nil
}
