package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
)

// Decoding and assembling any bytes that the platform or a peer returns for a
// manifest and a part must give either a snapshot or findings. A panic here would
// crash every node that reads the same version.
func FuzzVersion(f *testing.F) {
	set := &contract.Set{Services: []contract.Service{{Name: "tally", Slots: 1, MaxConnections: 1, Committed: map[string]int{"a": 1}}}}
	publication, err := Build(set, Origin{Version: Version{Epoch: 1, Revision: 1}})
	assert.NilError(f, err)
	manifest, err := publication.Manifest.Encode()
	assert.NilError(f, err)
	for _, part := range publication.Parts {
		f.Add(manifest, part)
		f.Add(manifest[:len(manifest)/2], part[:len(part)/2])
	}
	f.Add([]byte{0xa1, 0x61, 0x67, 0x9f, 0xff}, []byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, rawManifest, rawPart []byte) {
		decoded, err := DecodeManifest(rawManifest)
		if err != nil {
			// The part is still tested as the only group of a valid manifest.
			groups := []Hash{HashOf(rawPart)}
			decoded = &Manifest{Version: Version{Epoch: 1, Revision: 1}, Root: RootOf(groups), Groups: groups}
		}
		available := Parts{HashOf(rawPart): rawPart}
		assembled, found := Assemble(decoded, available)
		assert.Check(t, (assembled == nil) == (len(found) > 0))
	})
}
