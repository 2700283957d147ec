package config

import "flag"

// init fixes the seed of the property tests, so that every run checks the same cases. Use -rapid.seed for other cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
