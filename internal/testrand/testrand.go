// Package testrand fixes the seed of the random tests, so that each run tries the same cases and has the same
// verdict. A test package imports it for its effect; -rapid.seed still overrides it. It is no test file since every
// such package imports it, and a test file can not be imported; the program that is shipped does not link it.
package testrand

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "48121", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
