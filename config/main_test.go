package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
