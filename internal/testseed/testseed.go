// Package testseed gives the generated tests and the order of specs in every
// package that imports it a fixed seed, so that each run has the same verdict.
// The flags -rapid.seed and -ginkgo.seed on the command line override it.
package testseed

import (
	"flag"

	_ "github.com/onsi/ginkgo/v2" // registers its flags
	_ "pgregory.net/rapid"        // registers its flags
)

const seed = "20261204"

func init() {
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.nofailfile": "true", "ginkgo.seed": seed,
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
