package modelplan

import "flag"

// init sets a fixed seed for property tests, so that every run draws the same cases. The flag -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
