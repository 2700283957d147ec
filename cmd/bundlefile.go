package cmd

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
)

// readBundle reads and checks a bundle file.
func readBundle(path string) (bundle.Bundle, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "read bundle")
	}
	return bundle.Parse(b)
}
