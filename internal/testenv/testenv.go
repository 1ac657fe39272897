// Package testenv holds helpers that the tests of several packages share.
package testenv

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// RapidDefaults holds the default parameters of a package's property tests.
type RapidDefaults struct {
	// Seed is fixed so that each run checks the same cases.
	Seed uint64
	// Checks and Steps are the number of cases and the mean number of steps
	// of one; zero means rapid's defaults, 100 and 30.
	Checks int
	Steps  int
}

// Main runs the tests of a package whose property tests use rapid, and exits. A
// flag on the command line overrides its default.
func Main(m *testing.M, p RapidDefaults) {
	defaults := map[string]string{"rapid.seed": strconv.FormatUint(p.Seed, 10), "rapid.nofailfile": "true"}
	if p.Checks > 0 {
		defaults["rapid.checks"] = strconv.Itoa(p.Checks)
	}
	if p.Steps > 0 {
		defaults["rapid.steps"] = strconv.Itoa(p.Steps)
	}
	flag.Parse()
	flag.Visit(func(given *flag.Flag) { delete(defaults, given.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// LiveHeapBytes returns the size of the live heap in bytes.
func LiveHeapBytes() uint64 {
	runtime.GC()
	// Objects released by finalizers in the first cycle are freed in the second.
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
