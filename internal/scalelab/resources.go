package scalelab

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the user and system time of the process on all processors, including garbage collection.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeapBytes returns the live heap in bytes after two collections, since the first one keeps objects with
// finalizers and the contents of pools.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocatedObjects returns the number of heap objects that the process has allocated so far.
func allocatedObjects() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}
