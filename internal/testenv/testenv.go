// Package testenv holds what the tests of several packages share.
package testenv

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// Properties says how the property tests of a package run by default.
type Properties struct {
	// Seed makes each run check the same cases.
	Seed uint64
	// Checks and Steps are the number of cases and the mean number of steps
	// of one; zero means rapid's defaults, 100 and 30.
	Checks int
	Steps  int
}

// Main runs the tests of a package whose property tests use rapid, and exits.
// A flag on the command line goes before its default.
func Main(m *testing.M, p Properties) {
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

// HeapInUse returns the bytes of the live heap.
func HeapInUse() uint64 {
	runtime.GC()
	// Finalizers of the first cycle free more in the second.
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
