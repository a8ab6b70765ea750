// Package rapidseed gives the generated tests of every package that imports it
// a fixed seed, so that each run has the same verdict. The flag -rapid.seed on
// the command line overrides it.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
