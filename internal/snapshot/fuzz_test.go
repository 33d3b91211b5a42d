package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
)

// Whatever bytes the platform or a peer gives for a manifest and a part, reading
// and assembling them ends in a snapshot or in findings. A crash here would stop
// every node that reads the same version.
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
			// The part still stands as the only group of a manifest.
			groups := []Hash{HashOf(rawPart)}
			decoded = &Manifest{Version: Version{Epoch: 1, Revision: 1}, Root: RootOf(groups), Groups: groups}
		}
		held := Parts{HashOf(rawPart): rawPart}
		assembled, found := Assemble(decoded, held)
		assert.Check(t, (assembled == nil) == (len(found) > 0))
	})
}
