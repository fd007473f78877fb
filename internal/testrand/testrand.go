// Package testrand sets a fixed seed for property-based tests, so that each run tries the same cases and has the same
// result. Test packages import it for its side effect; the flag -rapid.seed overrides the seed. It is not a test file
// because test files cannot be imported. The released program does not link it.
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
