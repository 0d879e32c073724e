package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
