package cataloger

// FleetSpec is the fleet document as operators write it.
type FleetSpec struct {
	Revision   uint64          `json:"revision" yaml:"revision"`
	Defaults   PolicySpec      `json:"defaults" yaml:"defaults"`
	Services   []ServiceSpec   `json:"services" yaml:"services"`
	Exceptions []ExceptionSpec `json:"exceptions,omitempty" yaml:"exceptions,omitempty"`
}

// PolicySpec holds the settings of a service or target. In the fleet document it
// sets the fleet-wide defaults, where a zero field takes the value of
// BuiltinPolicy.
type PolicySpec struct {
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int64 `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Connections is the maximum number of open connections of a target.
	Connections int64 `json:"connections,omitempty" yaml:"connections,omitempty"`
	// Weight is the target's relative share of new flows, 1 to 1000.
	Weight int64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// QueueLimit is the maximum number of requests queued at an agent.
	QueueLimit int64 `json:"queue_limit,omitempty" yaml:"queue_limit,omitempty"`
	// LongSharePercent is the share of slots that long requests may take, 1 to 99.
	LongSharePercent int64 `json:"long_share_percent,omitempty" yaml:"long_share_percent,omitempty"`
	// ShortTimeoutMs is the timeout of a short request that carries none, in ms.
	ShortTimeoutMs int64 `json:"short_timeout_ms,omitempty" yaml:"short_timeout_ms,omitempty"`
	// LongTimeoutMs is the timeout of a long request that carries none, in ms.
	LongTimeoutMs int64 `json:"long_timeout_ms,omitempty" yaml:"long_timeout_ms,omitempty"`
	// DrainDeadlineMs is the longest time that a graceful shutdown waits for
	// requests in flight, in ms.
	DrainDeadlineMs int64 `json:"drain_deadline_ms,omitempty" yaml:"drain_deadline_ms,omitempty"`
	// TicketLifetimeMs is the time from issue to expiry of a ticket, in ms.
	TicketLifetimeMs int64 `json:"ticket_lifetime_ms,omitempty" yaml:"ticket_lifetime_ms,omitempty"`
	// ObjectivePermille is the service-level objective: the share of requests that
	// must succeed in time, in permille, 1 to 999.
	ObjectivePermille int64 `json:"objective_permille,omitempty" yaml:"objective_permille,omitempty"`
	// ObjectiveLatencyMs is the latency above which the response to a short
	// request counts as late, in ms.
	ObjectiveLatencyMs int64 `json:"objective_latency_ms,omitempty" yaml:"objective_latency_ms,omitempty"`
}

// ServiceSpec is one service.
type ServiceSpec struct {
	Name string `json:"name" yaml:"name"`
	// Number identifies the service in connection IDs and tunnel headers. It
	// is never reused.
	Number uint16 `json:"number" yaml:"number"`
	// Names are the host names that callers send in the :authority pseudo-header.
	Names []string `json:"names" yaml:"names"`
	// Addresses are the published addresses as ip:port.
	Addresses []string     `json:"addresses" yaml:"addresses"`
	Targets   []TargetSpec `json:"targets" yaml:"targets"`
}

// TargetSpec is one target: the entry of a backend server in a service.
type TargetSpec struct {
	Name string `json:"name" yaml:"name"`
	// Number identifies the target across the fleet. It is never reused.
	Number           uint32 `json:"number" yaml:"number"`
	Host             string `json:"host" yaml:"host"`
	AvailabilityZone string `json:"availability_zone" yaml:"availability_zone"`
	// TunnelAddress is the UDP address of the agent as ip:port.
	TunnelAddress string `json:"tunnel_address" yaml:"tunnel_address"`
	// ControlAddress is the TCP address of the agent's peer sessions as ip:port.
	ControlAddress string `json:"control_address" yaml:"control_address"`
	// State is serving (the default) or leaving.
	State string `json:"state,omitempty" yaml:"state,omitempty"`
}

// ExceptionSpec overrides one default for one service or target.
type ExceptionSpec struct {
	// Scope is a service name, or service/target.
	Scope string `json:"scope" yaml:"scope"`
	// Key is the key of a field of PolicySpec, in snake case.
	Key   string `json:"key" yaml:"key"`
	Value int64  `json:"value" yaml:"value"`
	// Reason says why the exception exists. It is mandatory.
	Reason string `json:"reason" yaml:"reason"`
}

// HostSpec is one entry of the platform's host list.
type HostSpec struct {
	Name             string `json:"name"`
	Role             string `json:"role"`
	AvailabilityZone string `json:"availability_zone"`
	// State is live, leaving or removed.
	State          string `json:"state"`
	ControlAddress string `json:"control_address"`
	TunnelAddress  string `json:"tunnel_address,omitempty"`
}
