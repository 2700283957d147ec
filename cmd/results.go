package cmd

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// writeResults writes measurement results to a JSON file. It does nothing if name is empty.
func writeResults(name string, results any) error {
	if name == "" {
		return nil
	}
	b, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(name, b, 0o644), "write results")
}
