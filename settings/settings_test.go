package settings

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
)

func valid(t *testing.T, args ...string) *Settings {
	t.Helper()
	s := &Settings{}
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.Bind(fs)
	base := []string{"--host=h1", "--datacentre=a", "--platform=http://127.0.0.1:1", "--cluster-secret=0123456789abcdef"}
	assert.NilError(t, fs.Parse(append(base, args...)))
	assert.NilError(t, FromEnvironment(fs))
	return s
}

func TestValidateNamesFlagAndRemedy(t *testing.T) {
	assert.NilError(t, valid(t).Validate())
	cases := []struct{ arg, flag string }{
		{"--host=", "host"},
		{"--host=Up", "host"},
		{"--caller-listen=nope", "caller-listen"},
		{"--rpc-advertise=name:80", "rpc-advertise"},
		{"--source-address=x", "source-address"},
		{"--platform=ftp://x", "platform"},
		{"--cluster-secret=short", "cluster-secret"},
		{"--log-level=loud", "log-level"},
		{"--tls-cert=x", "tls-cert"},
		{"--rate-shards=0", "rate-shards"},
		{"--peers=1.2.3.4", "peers"},
	}
	for _, c := range cases {
		t.Run(c.arg, func(t *testing.T) {
			err := valid(t, c.arg).Validate()
			var se *Error
			assert.Assert(t, errors.As(err, &se), "%v", err)
			assert.Equal(t, se.Flag, c.flag)
			assert.Assert(t, se.Remedy != "")
			assert.Assert(t, !strings.Contains(err.Error(), "0123456789abcdef"), "the secret must not be shown")
		})
	}
}

func TestEnvironmentFillsFlagsNotGiven(t *testing.T) {
	t.Setenv("GOOSEBERRYSHED_LOG_LEVEL", "debug")
	t.Setenv("GOOSEBERRYSHED_HOST", "from-env")
	s := valid(t)
	assert.Equal(t, s.LogLevel, "debug")
	assert.Equal(t, s.Host, "h1")
}
