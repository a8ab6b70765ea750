// Package soak runs the real programs of the platform as separate processes on
// loopback addresses, injects random faults from outside, and checks the
// platform's guarantees from what callers, minions and operators observe.
// scripts/soak runs it by hand, with more seeds and for longer than CI does.
package soak
