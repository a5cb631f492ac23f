package work

import "flag"

// The random tests use a fixed seed; -rapid.seed and -rapid.checks override the defaults.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
