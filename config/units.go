package config

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration written with its unit, for example "5s".
type Duration time.Duration

// Rate is a number of requests per second. It is written with its unit:
// "50/s", "30/m" or "6/h".
type Rate float64

type rateUnit struct {
	suffix  string
	seconds float64
}

var rateUnits = []rateUnit{{"/s", 1}, {"/m", 60}, {"/h", 3600}}

// ParseRate parses a rate with its unit.
func ParseRate(s string) (Rate, error) {
	for _, u := range rateUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(digits, 64)
		if err != nil || !isPlainNumber(digits) {
			return 0, errors.Errorf("%q is not a number", digits)
		}
		return Rate(n / u.seconds), nil
	}
	return 0, errors.Errorf("%q has no unit /s, /m or /h", s)
}

// isPlainNumber rejects forms that ParseFloat accepts but that are easily
// misread, such as exponents.
func isPlainNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789.") == ""
}

// String formats the rate in the first of the units /s, /m and /h in which it is
// a whole number, or else as a fraction per second.
func (r Rate) String() string {
	for _, u := range rateUnits {
		n := math.Round(float64(r) * u.seconds)
		if Rate(n/u.seconds) == r {
			return strconv.FormatFloat(n, 'f', -1, 64) + u.suffix
		}
	}
	return strconv.FormatFloat(float64(r), 'f', -1, 64) + "/s"
}

// MarshalText implements encoding.TextMarshaler.
func (r Rate) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(text []byte) error {
	parsed, err := ParseRate(string(text))
	*r = parsed
	return err
}

// ParseDuration parses a duration with its unit.
func ParseDuration(s string) (Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit", s)
	}
	return Duration(d), nil
}

// String formats the duration without trailing zero units.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := ParseDuration(string(text))
	*d = parsed
	return err
}
