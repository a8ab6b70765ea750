// Package capacity holds benchmarks for capacity planning; docs/CAPACITY.md
// reports the results. The benchmarks measure message sizes, processor time and memory
// of the control path at several fleet sizes. All components run in one
// process, from the packages that production uses.
package capacity
