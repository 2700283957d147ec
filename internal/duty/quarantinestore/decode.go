package quarantinestore

import (
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// decode returns the quarantines in objects of the store. One that cannot be decoded is logged and ignored.
func (kp *keeper) decode(items []objectstore.Object) []quarantine.Quarantine {
	var list []quarantine.Quarantine
	for _, it := range items {
		qu, err := quarantine.DecodeRecord(it.Value, kp.now())
		if err != nil {
			kp.lg.WithError(err).WithField("name", it.Name).Error("cannot decode quarantine in the store")
			continue
		}
		list = append(list, qu)
	}
	return list
}
