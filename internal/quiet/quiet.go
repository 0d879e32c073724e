// Package quiet silences the log lines of libraries. The lines quote what peers
// and callers sent, keys included; the parts count failures instead.
package quiet

// Logger drops all lines. It serves as the logger of fasthttp and of jsonrpc2.
type Logger struct{}

// Printf drops the line.
func (Logger) Printf(string, ...any) {}
