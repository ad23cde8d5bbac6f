package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	routingKind  = "routing"
	replicasKind = "replicas"
	// fetchTimeout bounds the fetch of a configuration or list of replicas. Two fetches and
	// the heartbeats before them must fit into the 2 s within which a new configuration is
	// in force on every node.
	fetchTimeout = 500 * time.Millisecond
	// maxDecompressedBytes is the largest decompressed configuration or list, in bytes.
	maxDecompressedBytes = 16 << 20
)

// snapshot is a compressed copy of the routing configuration or of the list of replicas, as
// nodes exchange it. A thousand entries take hundreds of kilobytes uncompressed; sent to
// all nodes at once they would delay every other message of a hub.
type snapshot struct {
	// Version is the version of a configuration, At the store position of a list.
	Version int64                  `cbor:"1,keyasint,omitempty"`
	At      catkinspindle.Position `cbor:"4,keyasint"`
	// Deflated is the CBOR encoding of the content, compressed with DEFLATE.
	Deflated []byte `cbor:"2,keyasint"`
	// ReturnWindow is the remaining time in which replicas missing from the list may return.
	ReturnWindow time.Duration `cbor:"3,keyasint,omitempty"`
	// Removed lists the incarnations of replicas whose entries were removed recently.
	Removed []catkinspindle.Departure `cbor:"5,keyasint,omitempty"`
}

// description identifies p in errors.
func (p snapshot) description() string {
	if p.Version > 0 {
		return fmt.Sprintf("version %d", p.Version)
	}
	return "list at " + p.At.String()
}

// sameContent reports whether p and o have the same content.
func (p snapshot) sameContent(o snapshot) bool { return p.Version == o.Version && p.At == o.At }

var errNoList = errors.New("message contains no list of replicas")

// encode returns p with content encoded and compressed.
func (p snapshot) encode(content any) (snapshot, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return p, err
	}
	if err := cbor.NewEncoder(w).Encode(content); err != nil {
		return p, fmt.Errorf("encode %s: %w", p.description(), err)
	}
	if err := w.Close(); err != nil {
		return p, fmt.Errorf("compress %s: %w", p.description(), err)
	}
	p.Deflated = buf.Bytes()
	return p, nil
}

// decode decompresses p and decodes it into content. Data beyond maxDecompressedBytes is cut
// off, so that decoding fails.
func (p snapshot) decode(content any) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflated)), maxDecompressedBytes))
	if err != nil {
		return fmt.Errorf("decompress %s: %w", p.description(), err)
	}
	if err := cbor.Unmarshal(data, content); err != nil {
		return fmt.Errorf("decode %s: %w", p.description(), err)
	}
	return nil
}

// snapshotCache holds the last snapshot, so that a version is compressed once for all nodes.
type snapshotCache struct {
	mu     sync.Mutex
	cached snapshot
}

// get returns header with content, which is compressed only if the cache holds another
// version.
func (c *snapshotCache) get(header snapshot, content any) (snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cached.sameContent(header) || c.cached.Deflated == nil {
		next, err := header.encode(content)
		if err != nil {
			return next, err
		}
		c.cached = next
	}
	// The content is shared; the remaining wait and the removals are those of this request.
	answer := c.cached
	answer.ReturnWindow, answer.Removed = header.ReturnWindow, header.Removed
	return answer, nil
}

// routing returns this node's configuration in compressed form.
func (f *Fleet) routing() (snapshot, error) {
	state := f.view.State()
	return f.routingCache.get(snapshot{Version: state.Version()}, state.Table.Routing())
}

// replicas returns this node's list of replicas in compressed form.
func (f *Fleet) replicas() (snapshot, error) {
	list, at, wait := f.view.Listed()
	return f.replicasCache.get(snapshot{At: at, ReturnWindow: wait, Removed: f.view.Removed()}, list)
}

// handleRouting serves a request for the configuration. It fails while this node has none.
func (f *Fleet) handleRouting(context.Context, func(any) error) (any, error) {
	if f.view.State().Table == nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "no configuration is known")
	}
	return f.routing()
}

// handleReplicas serves a request for the list of replicas.
func (f *Fleet) handleReplicas(context.Context, func(any) error) (any, error) { return f.replicas() }

// fetch requests a hub's configuration or list and passes it to adopt. It returns at once
// while another fetch holds inFlight. After a failure the next heartbeat response that reports
// something newer starts another fetch.
func (f *Fleet) fetch(ctx context.Context, inFlight *sync.Mutex, from catkinspindle.Node, kind string, adopt func(snapshot, string)) {
	if !inFlight.TryLock() {
		return
	}
	defer inFlight.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var p snapshot
	if err := f.peers.Call(ctx, from.PeerAddress, kind, struct{}{}, &p); err != nil {
		f.log.Warn("fetch from hub failed", events.PeerUnreachable.Attr(), "node", from.Name, "kind", kind, "error", err)
		return
	}
	adopt(p, from.Name)
}

func (f *Fleet) adoptRouting(p snapshot, source string) {
	if p.Version <= f.view.State().Version() {
		return
	}
	var r catkinspindle.Routing
	err := p.decode(&r)
	if err == nil && r.Version != p.Version {
		err = fmt.Errorf("configuration has version %d, but the message that carries it has version %d", r.Version, p.Version)
	}
	if err != nil {
		f.log.Warn("configuration received from node is unreadable", events.PeerMalformed.Attr(), "node", source, "error", err)
		return
	}
	if r.KeyPolicy == catkinspindle.KeyPolicyUnstated {
		if r.WorkspaceKeys == nil {
			f.readRouting(r.Version, source)
			return
		}
		r.KeyPolicy = catkinspindle.KeyPolicyRequired
	}
	if f.view.SetRouting(r) {
		f.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", r.Version, "source", source)
	}
}

// minRoutingReadInterval is the shortest interval between two reads of the configuration that
// readRouting causes.
const minRoutingReadInterval = time.Second

// readRouting has the configuration read from the store, because the node that has sent it is of an
// earlier build, which does not tell an empty list of workspaces from a missing one.
func (f *Fleet) readRouting(version int64, source string) {
	f.mu.Lock()
	now := time.Now()
	due := now.Sub(f.lastRoutingRead) >= minRoutingReadInterval
	if due {
		f.lastRoutingRead = now
	}
	f.mu.Unlock()
	if due {
		f.log.Warn("configuration received from node does not state whether a key is required, reading it from the store", events.ConfigUnreadable.Attr(), "node", source, "version", version)
		f.onRoutingUnclear()
	}
}

func (f *Fleet) adoptReplicas(p snapshot, source string) {
	if !p.At.After(f.view.State().ReplicasAt) {
		return
	}
	var list map[string]catkinspindle.Replica
	err := p.decode(&list)
	if err == nil && list == nil {
		err = errNoList
	}
	if err != nil {
		f.log.Warn("list of replicas received from node is unreadable", events.PeerMalformed.Attr(), "node", source, "error", err)
		return
	}
	var mayReturn time.Time
	if p.ReturnWindow > 0 {
		mayReturn = time.Now().Add(p.ReturnWindow)
	}
	f.view.AddRemoved(p.Removed)
	f.view.SetReplicas(list, p.At, mayReturn)
}
