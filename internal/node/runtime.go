package node

import (
	"runtime"
	"runtime/debug"

	"swiftswitch/internal/config"
)

const (
	// memoryLimitRatio, of MemoryMb, is the soft limit of the Go runtime. The
	// rest is for the kernel's socket buffers and what the runtime does not count.
	memoryLimitRatio = 0.6
	// gcPercent trades some memory for less processor time.
	gcPercent = 150
)

// tuneRuntime adapts the Go runtime to the machine: a node has one core at
// most.
func tuneRuntime(settings *config.Settings) {
	runtime.GOMAXPROCS(1)
	if memoryMb := settings.Limits.MemoryMb; memoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryMb * memoryLimitRatio * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}
