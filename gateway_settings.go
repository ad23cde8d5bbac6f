package catkinspindle

import "time"

// GatewaySettings configures a node that forwards requests to replicas.
type GatewaySettings struct {
	Name       string
	DataCentre string
	// Callers, Ready, Addresses, Peers and Metrics are addresses to listen on:
	// for requests, readiness checks, address answers, other nodes and metrics.
	Callers   string
	Ready     string
	Addresses string
	Peers     string
	Metrics   string
	// Store is the address of the platform's store.
	Store string
	// CPUShare and MemoryMB are what the VM has: a share of a core and megabytes.
	CPUShare float64
	MemoryMB int
	Retry    RetryAllowance
	// Grace is the time between the request to stop and a kill.
	Grace time.Duration
	// ReplicaHeartbeat is the interval at which replicas renew their entries in the
	// store; zero when it is not known.
	ReplicaHeartbeat time.Duration
	// MaxLifetime bounds how long callers keep an address answer.
	MaxLifetime time.Duration
}

// RetryAllowance bounds the repeats of all nodes for one service: in any
// Window, Floor plus Ratio for each request.
type RetryAllowance struct {
	Ratio  float64
	Window time.Duration
	Floor  float64
}
