package feedws

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
)

// message is one update or one notice as it is sent. A change of the configuration is compressed
// apart from the rest: sent plain to every follower, a large one fills a small link
// until the feeds time out.
type message struct {
	Update *mesh.Update `cbor:"n"`
	// Notice is set in place of an update.
	Notice *quarantine.Notice `cbor:"q,omitempty"`
	// Config is the compressed CBOR of a mesh.ConfigDelta; empty for none.
	Config []byte `cbor:"c,omitempty"`
}

// keptDeltas is how many compressed deltas and parts of them are kept: followers ask for a
// change at about the same time, and a storm of changes has a few at a time.
const keptDeltas = 48

// encoder makes messages. It compresses a delta once for all followers. It is
// safe for concurrent use.
type encoder struct {
	mu   sync.Mutex
	kept []encodedDelta
}

// encodedDelta is a delta, or a part of one, by what says all that it holds.
type encodedDelta struct {
	of  deltaID
	raw []byte
}

type deltaID struct {
	base, version uint64
	part, parts   int
}

func (e *encoder) encode(update *mesh.Update) ([]byte, error) {
	m := message{Update: update}
	if update.Config != nil {
		bare := *update
		bare.Config = nil
		m.Update = &bare
		var err error
		if m.Config, err = e.delta(update.Config); err != nil {
			return nil, err
		}
	}
	raw, err := cbor.Marshal(&m)
	return raw, errors.Wrap(err, "encode update")
}

// delta holds the mutex while it compresses, so that followers who want the same
// delta wait for it.
func (e *encoder) delta(d *mesh.ConfigDelta) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := deltaID{d.Base, d.Version, d.Part, d.Parts}
	for _, kept := range e.kept {
		if kept.of == id {
			return kept.raw, nil
		}
	}
	raw, err := compress(d)
	if err != nil {
		return nil, err
	}
	if len(e.kept) == keptDeltas {
		e.kept = e.kept[1:]
	}
	e.kept = append(e.kept, encodedDelta{of: id, raw: raw})
	return raw, nil
}

func compress(d *mesh.ConfigDelta) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := cbor.NewEncoder(writer).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return packed.Bytes(), nil
}

func encodeNotice(notice *quarantine.Notice) ([]byte, error) {
	raw, err := cbor.Marshal(&message{Notice: notice})
	return raw, errors.Wrap(err, "encode notice")
}

// decode reads what encode or encodeNotice wrote; one of its results is set.
func decode(raw []byte) (*mesh.Update, *quarantine.Notice, error) {
	var m message
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return nil, nil, errors.Wrap(err, "decode message")
	}
	if m.Notice != nil {
		return nil, m.Notice, nil
	}
	update, err := m.update()
	return update, nil, err
}

// update returns the update with its configuration.
func (m *message) update() (*mesh.Update, error) {
	if m.Update == nil {
		return nil, errors.New("decode update: none")
	}
	if len(m.Config) == 0 {
		return m.Update, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Config)), maxUpdate+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(plain) > maxUpdate {
		return nil, errors.Errorf("decompress configuration: over %d bytes", maxUpdate)
	}
	m.Update.Config = &mesh.ConfigDelta{}
	return m.Update, errors.Wrap(decoder.Unmarshal(plain, m.Update.Config), "decode configuration")
}

// decoder bounds what a broken neighbour can make this node hold.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 12}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
