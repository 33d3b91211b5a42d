package process

import (
	"fmt"

	"tamarackquay/internal/contract"
)

// testToken is the caller token of the contracts under test.
const testToken = "test-token"

// testContracts returns contracts modelled on the Co-operative's: tallies, returns
// that must not run twice, and archives. All routes have the given deadline.
func testContracts(deadline string) string {
	service := func(name string) string {
		return fmt.Sprintf("[[service]]\nname = %q\nslots = %d\nmax_connections = 110\ncommitted = { a-1 = 2, b-1 = 2 }\n", name, slots)
	}
	return service("tally") + service("returns") + service("archive") + fmt.Sprintf(`
[[contract]]
customer = "co-operative"
token_hashes = [%q]
classes = ["crew", "filing", "download"]
[[contract.grant]]
service = "tally"
share = 0.5
limit = 1.0
[[contract.grant]]
service = "returns"
share = 0.5
limit = 1.0
[[contract.grant]]
service = "archive"
share = 0.5
limit = 1.0
[[contract.route]]
name = "tallies"
prefix = "/tallies"
service = "tally"
class = "crew"
idempotent = true
deadline = %q
stall = "5s"
[[contract.route]]
name = "returns"
prefix = "/returns"
service = "returns"
class = "filing"
methods = ["POST"]
deadline = %q
stall = "5s"
[[contract.route]]
name = "archive"
prefix = "/archive"
service = "archive"
class = "download"
idempotent = true
long = true
deadline = %q
stall = "2s"
`, contract.HashToken(testToken), deadline, deadline, deadline)
}
