// Package settings reads the static settings of a daemon from flags and
// environment variables and validates them. Configuration that operators change at
// run time is in the configuration document (package config).
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/spf13/pflag"

	"github.com/gooseberryshed/gooseberryshed/peertls"
)

// EnvPrefix is the prefix of each environment variable; the rest is the flag's name
// in upper case with underscores.
const EnvPrefix = "GOOSEBERRYSHED_"

// Settings are the static settings of one daemon.
type Settings struct {
	// Host is the unique name of the host, DataCentre that of its data centre.
	Host       string
	DataCentre string
	// Listen addresses; port 0 selects a free port.
	CallerListen, ForwardListen, RPCListen, AnnounceListen, AdminListen string
	// Advertised addresses; empty means the listen address.
	CallerAdvertise, ForwardAdvertise, RPCAdvertise string
	// SourceAddress is the local IP of outgoing connections; empty lets the
	// system choose.
	SourceAddress string
	// Platform is the base URL of the platform's table and object service.
	Platform string
	// ClusterSecret is the comma-separated list of accepted secrets. The first
	// is presented to peers.
	ClusterSecret string
	// Peers are RPC addresses for joining the fleet, in addition to those in
	// the table.
	Peers []string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TLSCert and TLSKey are PEM files for callers' connections; both empty
	// means plain HTTP.
	TLSCert, TLSKey string
	// RateShards is the number of rate limiter shards per data centre. It must
	// be the same on all daemons.
	RateShards int
	// MaxConns is the maximum number of callers' connections.
	MaxConns int
}

// Defaults of the settings.
const (
	defaultRateShards = 4
	defaultMaxConns   = 4096
	maxRateShards     = 256
	maxMaxConns       = 1 << 20
)

// Bind defines the flags of the settings in fs.
func (s *Settings) Bind(fs *pflag.FlagSet) {
	fs.StringVar(&s.Host, "host", "", "unique name of this host (required)")
	fs.StringVar(&s.DataCentre, "datacentre", "", "data centre of this host (required)")
	fs.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&s.ForwardListen, "forward-listen", "127.0.0.1:8081", "address for requests forwarded by other daemons")
	fs.StringVar(&s.RPCListen, "rpc-listen", "127.0.0.1:8082", "address for control messages of other daemons")
	fs.StringVar(&s.AnnounceListen, "announce-listen", "127.0.0.1:8083", "address for announcements of this host's targets; keep it on loopback")
	fs.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:8084", "address for operators: /livez /readyz /status /debug/vars")
	fs.StringVar(&s.CallerAdvertise, "caller-advertise", "", "caller address advertised to other daemons (default: the listen address)")
	fs.StringVar(&s.ForwardAdvertise, "forward-advertise", "", "forward address advertised to other daemons (default: the listen address)")
	fs.StringVar(&s.RPCAdvertise, "rpc-advertise", "", "rpc address advertised to other daemons (default: the listen address)")
	fs.StringVar(&s.SourceAddress, "source-address", "", "local IP of outgoing connections (default: chosen by the system)")
	fs.StringVar(&s.Platform, "platform", "", "base URL of the platform's table and object service (required)")
	fs.StringVar(&s.ClusterSecret, "cluster-secret", "", "secrets shared by all daemons, comma-separated; the first is presented, all are accepted; prefer the environment variable (required)")
	fs.StringSliceVar(&s.Peers, "peers", nil, "rpc addresses of other daemons, for joining while the table is unavailable")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.TLSCert, "tls-cert", "", "PEM file with the certificate for callers (default: plain HTTP)")
	fs.StringVar(&s.TLSKey, "tls-key", "", "PEM file with the private key for callers")
	fs.IntVar(&s.RateShards, "rate-shards", defaultRateShards, "rate limiter shards per data centre; must be the same on all daemons")
	fs.IntVar(&s.MaxConns, "max-conns", defaultMaxConns, "maximum number of connections from callers")
}

// FromEnvironment sets flags that were not given on the command line from the
// environment.
func FromEnvironment(fs *pflag.FlagSet) error {
	var firstErr error
	fs.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(f.Name))
		if !ok || f.Changed || firstErr != nil {
			return
		}
		if err := fs.Set(f.Name, value); err != nil {
			firstErr = &Error{Flag: f.Name, Problem: "the value in the environment is malformed", Remedy: "correct or unset " + EnvName(f.Name)}
		}
	})
	return firstErr
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Error describes an invalid setting.
type Error struct {
	Flag    string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("--%s (or %s): %s; %s", e.Flag, EnvName(e.Flag), e.Problem, e.Remedy)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate checks the settings and returns the first invalid one as an *Error.
func (s *Settings) Validate() error {
	checks := []func() error{
		func() error { return checkName("host", s.Host) },
		func() error { return checkName("datacentre", s.DataCentre) },
		s.checkAddresses,
		s.checkSource,
		s.checkPlatform,
		s.checkSecrets,
		s.checkLogLevel,
		s.checkTLS,
		func() error { return checkRange("rate-shards", s.RateShards, maxRateShards) },
		func() error { return checkRange("max-conns", s.MaxConns, maxMaxConns) },
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func checkName(flag, value string) error {
	if value == "" {
		return &Error{flag, "is missing", "set it"}
	}
	if !namePattern.MatchString(value) {
		return &Error{flag, fmt.Sprintf("%q is not a valid name", value), "use at most 63 lower-case letters, digits and dashes, without a dash at either end"}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	required := []struct{ flag, value string }{
		{"caller-listen", s.CallerListen},
		{"forward-listen", s.ForwardListen},
		{"rpc-listen", s.RPCListen},
		{"announce-listen", s.AnnounceListen},
		{"admin-listen", s.AdminListen},
	}
	optional := []struct{ flag, value string }{
		{"caller-advertise", s.CallerAdvertise},
		{"forward-advertise", s.ForwardAdvertise},
		{"rpc-advertise", s.RPCAdvertise},
	}
	for _, a := range required {
		if err := checkAddress(a.flag, a.value); err != nil {
			return err
		}
	}
	for _, a := range optional {
		if a.value == "" {
			continue
		}
		if err := checkAddress(a.flag, a.value); err != nil {
			return err
		}
	}
	for _, p := range s.Peers {
		if err := checkAddress("peers", p); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return &Error{flag, fmt.Sprintf("%q is not of the form IP:port", value), "use a value like 10.0.0.7:8080"}
	}
	return nil
}

func (s *Settings) checkSource() error {
	if s.SourceAddress != "" && net.ParseIP(s.SourceAddress) == nil {
		return &Error{"source-address", fmt.Sprintf("%q is not an IP address", s.SourceAddress), "use a value like 10.0.0.7"}
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &Error{"platform", fmt.Sprintf("%q is not an http or https URL", s.Platform), "use a value like http://10.0.0.2:7000"}
	}
	return nil
}

func (s *Settings) checkSecrets() error {
	if _, err := peertls.New(s.Secrets()); err != nil {
		return &Error{"cluster-secret", "is missing or too short", fmt.Sprintf("use at least %d bytes, the same on all daemons", peertls.MinSecretBytes)}
	}
	return nil
}

func (s *Settings) checkLogLevel() error {
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		return &Error{"log-level", fmt.Sprintf("%q is not a log level", s.LogLevel), "use debug, info, warn or error"}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	if (s.TLSCert == "") != (s.TLSKey == "") {
		return &Error{"tls-cert", "--tls-cert and --tls-key must be set together", "set both or neither"}
	}
	return nil
}

func checkRange(flag string, value, highest int) error {
	if value < 1 || value > highest {
		return &Error{flag, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use 1 to %d", highest)}
	}
	return nil
}

// Secrets returns the accepted cluster secrets.
func (s *Settings) Secrets() []string {
	var out []string
	for _, secret := range strings.Split(s.ClusterSecret, ",") {
		if secret = strings.TrimSpace(secret); secret != "" {
			out = append(out, secret)
		}
	}
	return out
}

// Source returns the local IP of outgoing connections, or nil if unset.
func (s *Settings) Source() net.IP { return net.ParseIP(s.SourceAddress) }
