package contract_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
)

const validConfig = `[[service]]
name = "tally"
slots = 4
max_connections = 10
committed = { a = 1 }
[[contract]]
customer = "one"
token_hashes = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
classes = ["crew"]
[[contract.grant]]
service = "tally"
share = 0.5
limit = 1.0
[[contract.route]]
name = "r"
prefix = "/r"
service = "tally"
class = "crew"
deadline = "1s"
stall = "1s"
`

// FuzzNodesAcceptWhatOperatorsMayPublish checks that a configuration that passes
// the operator's check is also accepted by a node that receives it as parts, in
// any order. Otherwise a version could be published that no node applies.
func FuzzNodesAcceptWhatOperatorsMayPublish(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, found := contract.Parse([]contract.Source{{Name: "f.toml", Text: text}})
		if len(found) > 0 {
			return
		}
		slices.Reverse(set.Contracts)
		slices.Reverse(set.Services)
		assert.NilError(t, contract.Check(set, contract.NoLocations{}).AsError())
		publication, err := snapshot.Build(set, snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: 1}})
		if err != nil {
			return // the build reports this to the operator before publication
		}
		_, refused := snapshot.Assemble(publication.Manifest, publication.Parts)
		assert.NilError(t, refused.AsError())
	})
}
