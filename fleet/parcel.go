package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	routingKind = "routing"
	// routingTimeout bounds the fetch of a configuration. Two fetches and the
	// heartbeats before them fit into the two seconds in which a new
	// configuration is in force everywhere.
	routingTimeout = 500 * time.Millisecond
	// maxRouting bounds an unpacked configuration in bytes.
	maxRouting = 16 << 20
)

// parcel is a routing configuration as it travels between nodes. A thousand
// routes take hundreds of kilobytes as they are; sent to all nodes at once they
// would delay every other message of a hub.
type parcel struct {
	Version int64 `cbor:"1,keyasint"`
	// Deflated is the CBOR encoding of a routing, compressed.
	Deflated []byte `cbor:"2,keyasint"`
}

func pack(r catkinspindle.Routing) (parcel, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return parcel{}, err
	}
	if err := cbor.NewEncoder(w).Encode(r); err != nil {
		return parcel{}, fmt.Errorf("encode configuration %d: %w", r.Version, err)
	}
	if err := w.Close(); err != nil {
		return parcel{}, fmt.Errorf("compress configuration %d: %w", r.Version, err)
	}
	return parcel{Version: r.Version, Deflated: buf.Bytes()}, nil
}

func (p parcel) unpack() (catkinspindle.Routing, error) {
	var r catkinspindle.Routing
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflated)), maxRouting))
	if err != nil {
		return r, fmt.Errorf("decompress configuration %d: %w", p.Version, err)
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode configuration %d: %w", p.Version, err)
	}
	if r.Version != p.Version {
		return r, fmt.Errorf("configuration %d was sent as %d", r.Version, p.Version)
	}
	return r, nil
}

// parcel returns the known configuration, packed once for all nodes.
func (f *Fleet) parcel() (parcel, error) {
	state := f.view.State()
	f.packing.Lock()
	defer f.packing.Unlock()
	if f.packed.Version == state.Version() {
		return f.packed, nil
	}
	p, err := pack(state.Table.Routing())
	if err == nil {
		f.packed = p
	}
	return p, err
}

// handleRouting answers with the known configuration.
func (f *Fleet) handleRouting(context.Context, func(any) error) (any, error) {
	if f.view.State().Table == nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "no configuration is known")
	}
	return f.parcel()
}

// fetchRouting asks a hub for its configuration, unless another hub is being
// asked. When it fails, the next answer to a heartbeat starts it again.
func (f *Fleet) fetchRouting(ctx context.Context, from catkinspindle.Fellow) {
	if !f.fetching.TryLock() {
		return
	}
	defer f.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, routingTimeout)
	defer cancel()
	var p parcel
	if err := f.peers.Call(ctx, from.PeerAddress, routingKind, struct{}{}, &p); err != nil {
		f.log.Warn("configuration not fetched", events.PeerUnreachable.Attr(), "node", from.Name, "error", err)
		return
	}
	f.adoptRouting(p, from.Name)
}

func (f *Fleet) adoptRouting(p parcel, source string) {
	if p.Version <= f.view.State().Version() {
		return
	}
	r, err := p.unpack()
	if err != nil {
		f.log.Warn("configuration of a node is unreadable", events.PeerMalformed.Attr(), "node", source, "error", err)
		return
	}
	if f.view.SetRouting(r) {
		f.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", r.Version, "source", source)
	}
}
