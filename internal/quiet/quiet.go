// Package quiet suppresses the logs of libraries. They quote data from peers and
// callers, including API keys; failures are counted in metrics instead.
package quiet

// Logger discards all log lines. It implements the logger interfaces of fasthttp
// and jsonrpc2.
type Logger struct{}

// Printf does nothing.
func (Logger) Printf(string, ...any) {}
