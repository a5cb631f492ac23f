package member

import "flag"

// init fixes the seed of rapid, so that every run of the tests draws the same cases. Use
// -rapid.seed and -rapid.checks to draw others.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
