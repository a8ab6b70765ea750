package daemon

import "runtime/debug"

// collectedPercent is the part of a process's memory up to which the garbage collector
// runs as seldom as it is set to. The rest is for what the collector doesn't manage, such
// as the program itself and the memory that it has yet to return.
const collectedPercent = 80

// LimitMemory has the garbage collector run more often as the process nears the given
// number of bytes, zero for no limit. Otherwise the heap grows to a multiple of the live
// data before it is collected.
func LimitMemory(bytes uint32) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(bytes) * collectedPercent / 100)
	}
}
