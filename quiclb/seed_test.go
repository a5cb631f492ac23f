package quiclb

import "flag"

// Property tests use a fixed seed, so that failures are reproducible. The flags -rapid.seed and
// -rapid.checks override the seed and the number of checks.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
