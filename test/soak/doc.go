// Package soak runs the real programs of the platform as separate processes on
// loopback addresses, injects faults from outside them, and checks the promises
// from what callers, minions and operators see. scripts/soak runs it by hand.
package soak
