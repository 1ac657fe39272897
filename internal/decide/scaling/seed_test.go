package scaling_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run checks the same
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
