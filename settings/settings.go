// Package settings reads the static settings of a daemon from flags and
// environment variables and checks them. What operators change at run time is
// in the document (package config) instead.
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

// EnvPrefix starts the name of each environment variable; the rest is the
// flag's name in capitals with underscores.
const EnvPrefix = "GOOSEBERRYSHED_"

// Settings are the static settings of one daemon.
type Settings struct {
	// Host is the unique name of the host, DataCentre that of its data centre.
	Host       string
	DataCentre string
	// Listen addresses; port 0 takes a free port.
	CallerListen, ForwardListen, RPCListen, AnnounceListen, AdminListen string
	// Advertised addresses; empty means the address listened on.
	CallerAdvertise, ForwardAdvertise, RPCAdvertise string
	// SourceAddress is the local IP of outgoing connections; empty leaves it
	// to the system.
	SourceAddress string
	// Platform is the base URL of the platform's service.
	Platform string
	// ClusterSecret is the comma-separated list of accepted secrets. The first
	// is presented to peers.
	ClusterSecret string
	// Peers are rpc addresses tried for first contact besides the table's.
	Peers []string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TLSCert and TLSKey are PEM files for callers' connections; both empty
	// means plain HTTP.
	TLSCert, TLSKey string
	// RateShards is the number of rate limiter shards per data centre. All
	// daemons must agree.
	RateShards int
	// MaxConns bounds the callers' connections.
	MaxConns int
}

// Defaults of the settings.
const (
	defaultRateShards = 4
	defaultMaxConns   = 4096
	maxRateShards     = 256
	maxMaxConns       = 1 << 20
)

// Bind adds the flags to fs.
func (s *Settings) Bind(fs *pflag.FlagSet) {
	fs.StringVar(&s.Host, "host", "", "unique name of this host (required)")
	fs.StringVar(&s.DataCentre, "datacentre", "", "data centre of this host (required)")
	fs.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&s.ForwardListen, "forward-listen", "127.0.0.1:8081", "address for requests forwarded by other daemons")
	fs.StringVar(&s.RPCListen, "rpc-listen", "127.0.0.1:8082", "address for control messages of other daemons")
	fs.StringVar(&s.AnnounceListen, "announce-listen", "127.0.0.1:8083", "address for announcements of this host's targets; keep it on loopback")
	fs.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:8084", "address for operators: /livez /readyz /status /debug/vars")
	fs.StringVar(&s.CallerAdvertise, "caller-advertise", "", "caller address told to others (default: as listened)")
	fs.StringVar(&s.ForwardAdvertise, "forward-advertise", "", "forward address told to other daemons (default: as listened)")
	fs.StringVar(&s.RPCAdvertise, "rpc-advertise", "", "rpc address told to other daemons (default: as listened)")
	fs.StringVar(&s.SourceAddress, "source-address", "", "local IP of outgoing connections (default: the system's choice)")
	fs.StringVar(&s.Platform, "platform", "", "base URL of the platform's table and object service (required)")
	fs.StringVar(&s.ClusterSecret, "cluster-secret", "", "secrets shared by all daemons, comma-separated; the first is used, all are accepted; better set by the environment (required)")
	fs.StringSliceVar(&s.Peers, "peers", nil, "rpc addresses of other daemons for first contact while the table is out")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.TLSCert, "tls-cert", "", "PEM file with the certificate for callers (default: plain HTTP)")
	fs.StringVar(&s.TLSKey, "tls-key", "", "PEM file with the private key for callers")
	fs.IntVar(&s.RateShards, "rate-shards", defaultRateShards, "rate limiter shards per data centre; the same at all daemons")
	fs.IntVar(&s.MaxConns, "max-conns", defaultMaxConns, "most connections of callers")
}

// FromEnvironment fills the flags that were not given from the environment.
func FromEnvironment(fs *pflag.FlagSet) error {
	var failed error
	fs.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(f.Name))
		if !ok || f.Changed || failed != nil {
			return
		}
		if err := fs.Set(f.Name, value); err != nil {
			failed = &Error{Flag: f.Name, Problem: "the environment's value is malformed", Remedy: "correct or unset " + EnvName(f.Name)}
		}
	})
	return failed
}

// EnvName is the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Error is an unusable setting.
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

// Validate checks the settings and returns the first unusable one.
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
		return &Error{flag, fmt.Sprintf("%q is not a name", value), "use lower-case letters, digits and dashes, at most 63"}
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
		return &Error{flag, fmt.Sprintf("%q is not IP:port", value), "write it like 10.0.0.7:8080"}
	}
	return nil
}

func (s *Settings) checkSource() error {
	if s.SourceAddress != "" && net.ParseIP(s.SourceAddress) == nil {
		return &Error{"source-address", fmt.Sprintf("%q is not an IP", s.SourceAddress), "write it like 10.0.0.7"}
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &Error{"platform", fmt.Sprintf("%q is not a URL", s.Platform), "write it like http://10.0.0.2:7000"}
	}
	return nil
}

func (s *Settings) checkSecrets() error {
	if _, err := peertls.New(s.Secrets()); err != nil {
		return &Error{"cluster-secret", "is missing or too short", fmt.Sprintf("use %d characters or more, the same at all daemons", peertls.MinSecretBytes)}
	}
	return nil
}

func (s *Settings) checkLogLevel() error {
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		return &Error{"log-level", fmt.Sprintf("%q is not a level", s.LogLevel), "use debug, info, warn or error"}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	if (s.TLSCert == "") != (s.TLSKey == "") {
		return &Error{"tls-cert", "--tls-cert and --tls-key go together", "set both or neither"}
	}
	return nil
}

func checkRange(flag string, value, highest int) error {
	if value < 1 || value > highest {
		return &Error{flag, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use 1 to %d", highest)}
	}
	return nil
}

// Secrets are the accepted cluster secrets.
func (s *Settings) Secrets() []string {
	var out []string
	for _, secret := range strings.Split(s.ClusterSecret, ",") {
		if secret = strings.TrimSpace(secret); secret != "" {
			out = append(out, secret)
		}
	}
	return out
}

// Source is the local IP of outgoing connections, or nil.
func (s *Settings) Source() net.IP { return net.ParseIP(s.SourceAddress) }
