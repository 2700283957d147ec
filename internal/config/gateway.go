package config

// Role says which duties an instance runs.
type Role string

// The roles.
const (
	// RoleEntry serves the product's own protocol.
	RoleEntry Role = "entry"
	// RoleGateway serves the protocol of an adapter.
	RoleGateway Role = "gateway"
)

// Role returns which duties the settings ask for.
func (s Settings) Role() Role {
	if s.Gateway != nil {
		return RoleGateway
	}
	return RoleEntry
}

// Gateway holds the settings of an instance that serves the protocol of an adapter.
type Gateway struct {
	// Adapter names the registered adapter.
	Adapter string `json:"adapter"`
	// Callers, Readiness, Peers and Metrics are the IP addresses and ports of the listeners.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	// Seeds are addresses of peers to try at the start; they may be stale.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the IP address and port of the platform's object store.
	Store string `json:"store"`
	// RevocationBound is the time after which a key that was taken away must not work, whatever is cut off; zero for
	// none.
	RevocationBound Duration `json:"revocation_bound,omitempty"`
	// Grace is the time between the request to stop and the end of the process by force.
	Grace Duration `json:"grace"`
	// RetryShare bounds attempts beyond the first, over all instances, as a share of requests; RetryFloor is what is
	// allowed above that in each RetryWindow.
	RetryShare  float64  `json:"retry_share"`
	RetryFloor  int      `json:"retry_floor"`
	RetryWindow Duration `json:"retry_window"`
	// MaxBodyBytes bounds one body, BodyBudgetBytes all bodies held at once.
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	BodyBudgetBytes int64 `json:"body_budget_bytes"`
}
