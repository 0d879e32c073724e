package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed fixes the property tests unless -rapid.seed is given.
const rapidSeed = "20261204"

// rapidChecks is how many runs a property test makes unless told otherwise.
const rapidChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		flag.Set("rapid.seed", rapidSeed) //nolint:errcheck // a number is valid
		fmt.Println("rapid.seed", rapidSeed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		flag.Set("rapid.checks", rapidChecks) //nolint:errcheck // a number is valid
	}
	os.Exit(m.Run())
}
