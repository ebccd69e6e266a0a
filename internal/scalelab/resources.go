package scalelab

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime is what the process has used of all processors, the garbage collector's work included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse is the live heap in bytes, after two collections: the first leaves what waits for finalizers and pools.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocations counts the objects that the process has allocated so far.
func allocations() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}
