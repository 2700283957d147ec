package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

func decodeRecord(o objectstore.Object) (Record, error) {
	var r Record
	return r, errors.Wrap(json.Unmarshal(o.Value, &r), "decode claim")
}
