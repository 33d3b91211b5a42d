package distribution

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that CI runs are
// deterministic. To search with other seeds, run
// go test -rapid.seed=N -rapid.checks=5000.
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
