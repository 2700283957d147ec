package cmd

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// writeFigures writes figures to a JSON file; an empty name writes nothing.
func writeResults(name string, figures any) error {
	if name == "" {
		return nil
	}
	b, err := json.MarshalIndent(figures, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	return errors.Wrap(os.WriteFile(name, b, 0o644), "write figures")
}
