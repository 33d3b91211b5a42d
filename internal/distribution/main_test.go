package distribution

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that CI has the same
// verdict each run. A search with others: go test -rapid.seed=N -rapid.checks=5000.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
