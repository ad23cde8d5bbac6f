package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspindle/catkinspindle"
)

// minBehind is the time for which a node waits for the changes of another hub before it fetches the
// whole list of replicas: until all hubs have responded to the next heartbeat.
const minBehind = heartbeatInterval * 3 / 2

// behind records since when this node knows that its list of replicas at a position is not the
// newest.
type behind struct {
	mu    sync.Mutex
	at    catkinspindle.Position
	since time.Time
}

// mustFetch reports whether the list at a position must be replaced by the whole newer list of a
// hub that does not have the changes between them. Hubs that have just started lack the changes
// that the others have; all nodes fetching the list would fill their links.
func (f *Fleet) mustFetch(at, newer catkinspindle.Position) bool {
	if at.Era != newer.Era || !at.After(catkinspindle.StalePosition) {
		return true // No hub has the changes.
	}
	f.behind.mu.Lock()
	defer f.behind.mu.Unlock()
	if f.behind.at != at {
		f.behind.at, f.behind.since = at, time.Now()
	}
	return time.Since(f.behind.since) >= minBehind
}

// changesSource returns the name of the hub from which this node gets the changes of replicas, so
// that not all hubs send them. It is empty, and all send them, while this node is behind: the hub
// does not have them.
func (f *Fleet) changesSource(now time.Time, hubs []member, at catkinspindle.Position) (source string) {
	f.behind.mu.Lock()
	isBehind := f.behind.at == at
	f.behind.mu.Unlock()
	if isBehind {
		return ""
	}
	highest := uint64(0)
	for _, h := range hubs {
		if score := catkinspindle.RendezvousScore(f.self.Name, h.Name); score >= highest && !h.storeLost && now.Sub(h.lastResponse) < livenessTimeout {
			source, highest = h.Name, score
		}
	}
	return source
}

// hashCache holds the hash of the list of replicas at a position.
type hashCache struct {
	mu   sync.Mutex
	at   catkinspindle.Position
	hash uint64
}

// get returns the hash of list, which is that at a position.
func (c *hashCache) get(list map[string]catkinspindle.Replica, at catkinspindle.Position) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hash == 0 || c.at != at {
		c.at, c.hash = at, hashReplicas(list)
	}
	return c.hash
}

// hashReplicas returns a hash of what nodes send each other of a list. It is never zero.
func hashReplicas(list map[string]catkinspindle.Replica) uint64 {
	hash := uint64(len(list))
	for _, r := range list {
		data, err := cbor.Marshal(r)
		if err != nil {
			continue // Replicas can be encoded.
		}
		hash += xxhash.Sum64(data)
	}
	return max(1, hash)
}

// staleReplicasHash returns the hash of this node's list of replicas if it was read from the store
// without a position, otherwise 0.
func (f *Fleet) staleReplicasHash() uint64 {
	list, at, _ := f.view.Listed()
	if at != catkinspindle.StalePosition {
		return 0
	}
	return f.replicasHash.get(list, at)
}

// sameReplicas reports whether a hash is that of this node's list of replicas, which is at a
// position. removed is what a snapshot of the list has.
func (f *Fleet) sameReplicas(at catkinspindle.Position, hash uint64) (removed []catkinspindle.Departure, same bool) {
	if hash == 0 || at == catkinspindle.StalePosition {
		return nil, false
	}
	list, listedAt, wait := f.view.Listed()
	if listedAt != at || wait > 0 || f.replicasHash.get(list, at) != hash {
		return nil, false
	}
	return f.view.Removed(), true
}

// confirmReplicas gives the list of replicas whose hash was in a heartbeat the position in the
// response.
func (f *Fleet) confirmReplicas(m heartbeatRequest, a heartbeatResponse) {
	list, at, _ := f.view.Listed()
	if at != m.ReplicasAt || hashReplicas(list) != m.ReplicasHash {
		return
	}
	f.view.AddRemoved(a.Removed)
	f.view.SetReplicas(list, a.ReplicasAt, time.Time{})
}
