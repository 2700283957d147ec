package cmd

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/kernel"
)

type initCommand struct {
	*options `no-flag:"true"`
	Role     string `long:"role" default:"entry" choice:"entry" choice:"gateway" description:"role of the instance"`
}

// entryTemplate returns valid settings of an entry instance. The secrets in them are placeholders that must be replaced.
func entryTemplate() config.Settings {
	return kernel.Defaults(config.Settings{
		Instance: "entry-1", AvailabilityZone: "a",
		Callers:   config.Callers{Listen: "127.0.0.1:8080"},
		Operators: config.Operators{Listen: "127.0.0.1:8081", Key: "change-this-operator-key"},
		Peers:     config.Peers{Listen: "127.0.0.1:8082", Secret: "change-this-peer-secret"},
		Platform:  config.Platform{URL: "http://127.0.0.1:7000"},
	})
}

// gatewayTemplate returns valid settings of a gateway.
func gatewayTemplate() config.Settings {
	return kernel.Defaults(config.Settings{
		Instance: "gateway-1", AvailabilityZone: "a",
		Gateway: &config.Gateway{
			Adapter: "platform", Callers: "127.0.0.1:8080", Readiness: "127.0.0.1:8081", Peers: "127.0.0.1:8082",
			Metrics: "127.0.0.1:8083", Store: "127.0.0.1:7000",
		},
	})
}

// Execute prints template settings for the role.
func (ic *initCommand) Execute([]string) error {
	s := entryTemplate()
	if config.Role(ic.Role) == config.RoleGateway {
		s = gatewayTemplate()
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	fmt.Fprintln(ic.out, string(b))
	return nil
}
