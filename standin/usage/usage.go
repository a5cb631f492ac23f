// Package usage reads what this process uses, for measurements.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Heap is the memory in bytes that is in use after a collection, stacks included.
func Heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// CPUTime is the processor time that the process has used; zero if it cannot be
// read.
func CPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
