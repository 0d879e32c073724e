package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed is the seed of the property tests unless -rapid.seed is given.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		flag.Set("rapid.seed", rapidSeed) //nolint:errcheck // a number is valid
		fmt.Println("rapid.seed", rapidSeed)
	}
	os.Exit(m.Run())
}
