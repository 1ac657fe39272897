// Package bench runs the decision code in virtual time over small fake
// upstreams and compares it with a naive version under the same arrivals.
package bench

import "io"

// Options selects what to run. Zero values mean all.
type Options struct {
	// Seed of the arrivals; default 1.
	Seed uint64
	// Sizes limits the run to deployments of these names: "ticketing",
	// "archive", "region".
	Sizes []string
	// Experiments limits the run to experiments of these names.
	Experiments []string
}

// Run runs the experiments and writes one table, naive against ours.
func Run(w io.Writer, opts Options) error { return nil }
