package service

import "flag"

// The same random runs in every test; -rapid.seed and -rapid.checks make others.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
