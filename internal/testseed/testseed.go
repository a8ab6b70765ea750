// Package testseed gives property tests (rapid) and the order of specs (ginkgo) a
// fixed seed in every package whose tests import it, so that all runs generate the
// same cases and have the same outcome. The flags -rapid.seed and -ginkgo.seed
// override it on the command line.
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
