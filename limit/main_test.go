package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed is the seed of the property tests unless -rapid.seed is given.
const rapidSeed = "20261204"

// rapidChecks is the number of runs per property test unless -rapid.checks is
// given.
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
