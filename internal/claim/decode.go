package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

func decodeRecord(o objectstore.Object) (Record, error) {
	var rec Record
	return rec, errors.Wrap(json.Unmarshal(o.Value, &rec), "decode claim record")
}
