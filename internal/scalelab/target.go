package scalelab

import "time"

// The size that the system has to carry.
const (
	TargetGateways      = 3900
	TargetBackends      = 51_000
	TargetCustomers     = 120_000
	TargetRoutes        = 33_000
	TargetZones         = 24 // 3 regions of 8
	TargetRegions       = 3
	TargetRequestRate   = 282 // a second, of one gateway
	TargetRestarts      = 6_700
	TargetFailures      = 64
	TargetConfigChanges = 2_400 // a day
)

// The budgets that it has to be carried in.
const (
	BudgetAddedLatency  = 1400 * time.Microsecond // 99 requests in 100
	BudgetControlCPU    = 0.011                   // of a core, for control
	BudgetControlMemory = 64 << 20                // bytes
	BudgetControlBytes  = 8 << 10                 // a second
	BudgetInForce       = 20 * time.Second
)
