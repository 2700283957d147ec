package dispatch

import "flag"

// init fixes the seed of property tests, so that every run draws the same cases; the flag -rapid.seed selects another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
