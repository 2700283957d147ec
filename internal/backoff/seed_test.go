package backoff_test

import "flag"

// init fixes the seed of property tests, so that every run draws the same cases; -rapid.seed draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
