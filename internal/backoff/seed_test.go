package backoff_test

import "flag"

// init fixes the seed of property tests, so that every run draws the same cases; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
