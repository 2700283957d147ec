package cmd

import (
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/operatorclient"
)

// platformOptions are the flags for access to the platform and to the operators' listeners of the instances.
type platformOptions struct {
	Platform string `long:"platform" default:"http://127.0.0.1:7000" description:"base URL of the platform's object API"`
	Key      string `long:"operator-key" env:"SILVERMOUNT_OPERATOR_KEY" description:"key for the operators' listeners of instances"`
}

func (po *platformOptions) store() *objectstore.Client { return objectstore.New(po.Platform) }

func (po *platformOptions) ops() *operatorclient.Client {
	return operatorclient.New(po.store(), po.Key)
}
