package scalelab

import "time"

// The target: the size that the system has to support.
const (
	TargetGateways      = 3900
	TargetBackends      = 51_000
	TargetCustomers     = 120_000
	TargetRoutes        = 33_000 // each counts as a class of requests
	TargetZones         = 24     // 3 regions of 8
	TargetRegions       = 3
	TargetRequestRate   = 282   // per second, at one gateway
	TargetRestarts      = 6_700 // of backends, per day
	TargetFailures      = 64    // of backend machines, per day
	TargetConfigChanges = 2_400 // per day
)

// The budgets of one gateway at the target.
const (
	BudgetAddedLatency  = 1400 * time.Microsecond // 99th percentile
	BudgetControlCPU    = 0.011                   // share of a core for the control plane
	BudgetControlMemory = 64 << 20                // bytes for the control plane
	BudgetControlBytes  = 8 << 10                 // per second for the control plane
	BudgetPropagation   = 20 * time.Second        // until all gateways have applied a change
)
