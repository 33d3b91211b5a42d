package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the size of the property test, so that every run gives the
// same result. Flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	chosen := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { chosen[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if !chosen[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
