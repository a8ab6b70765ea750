package daemon

import "runtime/debug"

const (
	// collectedPercent is the part of a process's memory up to which the garbage collector
	// runs as seldom as it is set to. The rest is for what the collector doesn't manage, such
	// as the program itself and the memory that it has yet to return.
	collectedPercent = 80
	// minUnmanagedBytes is the least that is left for that.
	minUnmanagedBytes = 24 << 20
)

// LimitMemory has the garbage collector run more often as the process nears the given
// number of bytes, zero for no limit. Otherwise the heap grows to a multiple of the live
// data before it is collected.
func LimitMemory(bytes uint32) {
	if bytes > 0 {
		debug.SetMemoryLimit(collectedBytes(int64(bytes)))
	}
}

// collectedBytes returns the part of a process's memory that the garbage collector manages.
func collectedBytes(memory int64) int64 {
	return max(min(memory*collectedPercent/100, memory-minUnmanagedBytes), memory/2)
}

// shareDivisor divides the memory of a process into the part that each of its bounded
// contents may take by default: the bodies of requests, accepted jobs, and the log. A
// snapshot while it is written or sent takes as much as the jobs, some times over.
const shareDivisor = 8

// ShareOfMemory returns the bytes that a bounded content may take: those configured or, if
// these are zero, a part of the memory of the process. Zero means no limit.
func ShareOfMemory(configured, memory uint32) uint32 {
	if configured > 0 {
		return configured
	}
	return memory / shareDivisor
}
