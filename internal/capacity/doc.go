// Package capacity holds the benchmarks behind docs/CAPACITY.md. They measure
// bytes, processor time and memory of the control path at several sizes over
// the real packages in one process.
package capacity
