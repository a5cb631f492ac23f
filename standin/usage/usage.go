// Package usage measures the memory and processor time that the current process uses.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Heap runs a garbage collection and returns the heap and stack memory in use, in bytes.
func Heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// CPUTime returns the user and system time that the process has used, or zero if it cannot be read.
func CPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
