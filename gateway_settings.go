package catkinspindle

import "time"

// GatewaySettings configures a node that forwards requests to replicas.
type GatewaySettings struct {
	Name       string
	DataCentre string
	// Callers, Ready, Addresses, Peers and Metrics are listen addresses for
	// requests, readiness checks, address lookups, other nodes and metrics.
	Callers   string
	Ready     string
	Addresses string
	Peers     string
	Metrics   string
	// Store is the address of the platform's store.
	Store string
	// CPUShare and MemoryMB are the VM's resources: CPU in cores, which may be a
	// fraction, and memory in megabytes.
	CPUShare float64
	MemoryMB int
	// MaxDescriptors is the number of descriptors that the process may open; zero for that of the
	// operating system.
	MaxDescriptors int
	Retry          RetryBudget
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// ReplicaHeartbeat is the interval at which replicas renew their entries in the
	// store; zero when unknown.
	ReplicaHeartbeat time.Duration
	// MaxLifetime bounds how long callers may cache an address answer.
	MaxLifetime time.Duration
	// EvacuationTime is the time within which an evacuation of a data centre must take effect on
	// every node; zero if the platform has none.
	EvacuationTime time.Duration
}

// RetryBudget is the retry budget of one service over all nodes: within any
// Window, at most Min retries plus Ratio retries per request.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Min    float64
}
