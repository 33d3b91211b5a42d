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

// message is the wire format of an update or a notice. A configuration change is
// compressed separately from the rest of its update: sent uncompressed to every follower,
// a large change would fill a small link until the feeds time out.
type message struct {
	Update *mesh.Update `cbor:"n"`
	// Notice is set instead of Update if the message is a notice.
	Notice *quarantine.Notice `cbor:"q,omitempty"`
	// Config is a compressed mesh.ConfigDelta in CBOR. It is empty if the update has none.
	Config []byte `cbor:"c,omitempty"`
}

// maxCachedDeltas is the maximum number of compressed deltas and delta parts in the cache.
// Followers request a change at about the same time, and even a burst of changes has only
// a few deltas in use at a time.
const maxCachedDeltas = 48

// encoder encodes messages. It compresses each delta once for all followers. It is safe
// for concurrent use.
type encoder struct {
	mu    sync.Mutex
	cache []encodedDelta
}

// encodedDelta is a compressed delta, or a part of one.
type encodedDelta struct {
	id  deltaID
	raw []byte
}

// deltaID identifies a delta or a part of one. Deltas with the same id have the same
// content.
type deltaID struct {
	base, version uint64
	part, parts   int
}

func (e *encoder) encode(update *mesh.Update) ([]byte, error) {
	m := message{Update: update}
	if update.Config != nil {
		withoutConfig := *update
		withoutConfig.Config = nil
		m.Update = &withoutConfig
		var err error
		if m.Config, err = e.encodeDelta(update.Config); err != nil {
			return nil, err
		}
	}
	raw, err := cbor.Marshal(&m)
	return raw, errors.Wrap(err, "encode update")
}

// encodeDelta returns the compressed delta from the cache, or compresses and caches it. It
// holds the mutex during compression, so that feeds that need the same delta wait for the
// result instead of compressing it again.
func (e *encoder) encodeDelta(d *mesh.ConfigDelta) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := deltaID{d.Base, d.Version, d.Part, d.Parts}
	for _, cached := range e.cache {
		if cached.id == id {
			return cached.raw, nil
		}
	}
	raw, err := compress(d)
	if err != nil {
		return nil, err
	}
	if len(e.cache) == maxCachedDeltas {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, encodedDelta{id: id, raw: raw})
	return raw, nil
}

func compress(d *mesh.ConfigDelta) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := cbor.NewEncoder(writer).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return compressed.Bytes(), nil
}

func encodeNotice(notice *quarantine.Notice) ([]byte, error) {
	raw, err := cbor.Marshal(&message{Notice: notice})
	return raw, errors.Wrap(err, "encode notice")
}

// decode decodes a message of encode or encodeNotice. It returns either an update or a
// notice.
func decode(raw []byte) (*mesh.Update, *quarantine.Notice, error) {
	var m message
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return nil, nil, errors.Wrap(err, "decode message")
	}
	if m.Notice != nil {
		return nil, m.Notice, nil
	}
	update, err := m.decodeUpdate()
	return update, nil, err
}

// decodeUpdate returns the update with its decompressed configuration delta.
func (m *message) decodeUpdate() (*mesh.Update, error) {
	if m.Update == nil {
		return nil, errors.New("decode message: neither an update nor a notice")
	}
	if len(m.Config) == 0 {
		return m.Update, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Config)), maxUpdate+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(plain) > maxUpdate {
		return nil, errors.Errorf("decompress configuration: larger than %d bytes", maxUpdate)
	}
	m.Update.Config = &mesh.ConfigDelta{}
	return m.Update, errors.Wrap(decoder.Unmarshal(plain, m.Update.Config), "decode configuration")
}

// decoder limits the memory that a broken neighbour's message can make this node
// allocate.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 12}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
