package config

// Role determines which duties an instance runs.
type Role string

// The roles.
const (
	// RoleEntry serves the product's own protocol.
	RoleEntry Role = "entry"
	// RoleGateway serves the protocol of an adapter.
	RoleGateway Role = "gateway"
)

// Role returns RoleGateway if the gateway section is present, otherwise RoleEntry.
func (s Settings) Role() Role {
	if s.Gateway != nil {
		return RoleGateway
	}
	return RoleEntry
}

// Gateway holds the settings of an instance that serves the protocol of an adapter.
type Gateway struct {
	// Adapter is the name of a registered adapter.
	Adapter string `json:"adapter" jsonschema:"required"`
	// Callers, Readiness, Peers and Metrics are the IP addresses and ports of the listeners.
	Callers   string `json:"callers" jsonschema:"required"`
	Readiness string `json:"readiness" jsonschema:"required"`
	Peers     string `json:"peers" jsonschema:"required"`
	Metrics   string `json:"metrics" jsonschema:"required"`
	// Seeds are addresses of peers to contact at the start. They may be stale.
	Seeds []string `json:"seeds,omitempty"`
	// FirstStart is set while the whole fleet starts for the first time, before any caller connects. Instances then connect to each
	// other before they call the store.
	FirstStart bool `json:"first_start,omitempty"`
	// Megabits is the network bandwidth of the instance in Mbit/s, or zero if it is unknown. In a large fleet, instances with more
	// bandwidth relay the gossip about requests in flight for the others.
	Megabits float64 `json:"megabits,omitempty"`
	// Store is the IP address and port of the object store of the platform.
	Store string `json:"store" jsonschema:"required"`
	// RevocationBound is the time after which a revoked key must no longer be accepted, even during a network partition. Zero means no
	// limit.
	RevocationBound Duration `json:"revocation_bound,omitempty"`
	// LeavingBound is the maximum staleness of the list of targets: after this time, an instance that can reach the store must not send
	// requests to a target that is leaving or gone according to the store. ConfigurationBound is the same limit for requests that only
	// an older configuration allows. The polling interval of the store is derived from both.
	LeavingBound       Duration `json:"leaving_bound"`
	ConfigurationBound Duration `json:"configuration_bound"`
	// EvacuationBound is the time after which an instance that can reach the store must not send requests to targets of an
	// availability zone that operators have evacuated. Zero means that there are no evacuations; the store is then not asked for them.
	EvacuationBound Duration `json:"evacuation_bound,omitempty"`
	// Grace is the time between the request to stop and the forced end of the process.
	Grace Duration `json:"grace"`
	// RetryShare and RetryFloor define the retry budget over all instances. In each RetryWindow, the attempts beyond the first may be
	// RetryShare of the requests plus RetryFloor. RetryFloor may be a fraction, because platforms derive it from the traffic.
	RetryShare  float64  `json:"retry_share"`
	RetryFloor  float64  `json:"retry_floor"`
	RetryWindow Duration `json:"retry_window"`
	// AvailabilityZones are the names of all availability zones with instances. Without them, those of the instances seen are assumed.
	AvailabilityZones []string `json:"availability_zones,omitempty"`
	// DialTimeout limits the time to connect to a target. After it, another target is tried.
	DialTimeout Duration `json:"dial_timeout"`
	// OrderTimeout limits the duration of one order that reserves or releases memory at a target.
	OrderTimeout Duration `json:"order_timeout"`
	// MemoryHold is how long a memory reservation at a target remains valid after its last renewal.
	MemoryHold Duration `json:"memory_hold"`
	// MaxBodyBytes limits the size of one body, BodyBudgetBytes the total size of all bodies held at the same time.
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	BodyBudgetBytes int64 `json:"body_budget_bytes"`
	// MaxResponseBytes limits the size of the body of one response.
	MaxResponseBytes int64 `json:"max_response_bytes"`
	// LoadControl switches on what decides under overload. Without it, none of these decisions is made.
	LoadControl LoadControl `json:"load_control,omitzero"`
}

// LoadControl switches on the decisions under overload, one by one. The operations guide says what each does.
type LoadControl struct {
	// Queue orders waiting requests by urgency, and lets requests wait for a slot of a plain target.
	Queue bool `json:"queue,omitempty"`
	// CompletionAdmission admits, holds or refuses a prompt by when it is predicted to be answered.
	CompletionAdmission bool `json:"completion_admission,omitempty"`
	// ReturnTimes tells refused callers when room is expected, and admits those that return on time first.
	ReturnTimes bool `json:"return_times,omitempty"`
	// FairShares divides engine time between organisations while there is too little of it.
	FairShares bool `json:"fair_shares,omitempty"`
	// NeutralWorth values answers by what the configuration states, not by a fixed price for each token.
	NeutralWorth bool `json:"neutral_worth,omitempty"`
	// LearnedPace learns from answers how fast each target is.
	LearnedPace bool `json:"learned_pace,omitempty"`
	// GradualReturn limits what is sent to a target that has just started or recovered, and raises the limit while it answers well.
	GradualReturn bool `json:"gradual_return,omitempty"`
}
