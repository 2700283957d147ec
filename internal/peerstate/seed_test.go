package peerstate

import "flag"

// init fixes the seed of the property tests, so that every run draws the same cases. The flag -rapid.seed draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
