package rawjson_test

import "flag"

// init sets a fixed default seed for property tests, so that every run draws the same cases. The flag -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
