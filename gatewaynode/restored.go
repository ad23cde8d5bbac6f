package gatewaynode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/platform"
)

const (
	// secretWait is how long a starting node waits for the others to rewrite the fleet
	// secret. A node that watches the store detects a restore within two seconds.
	secretWait = 3 * time.Second
	// restoredMetric counts restores of the store from a backup.
	restoredMetric = "store-restored"
)

var errSecretAwaited = errors.New("other nodes are registered but the store has no fleet secret")

type secret struct {
	Seed string `json:"seed"`
}

func newSecret(seed []byte) secret {
	return secret{Seed: base64.StdEncoding.EncodeToString(seed)}
}

// storeRestored rewrites the fleet secret, which a restored store may have lost. The
// operators rewrite the configuration, the replicas their entries.
func (n *Node) storeRestored(era int64) {
	n.log.Warn("store restored from a backup", events.StoreRestored.Attr(), "era", era)
	metrics.GetOrRegisterCounter(restoredMetric, n.metrics).Inc(1)
	if !n.isJoined() {
		return
	}
	n.group.Go(func() error {
		n.keepSecret(n.running)
		return nil
	})
}

// keepSecret ensures that the store has the fleet secret of the running nodes, so that
// nodes that start later can connect to them.
func (n *Node) keepSecret(ctx context.Context) {
	err := n.persist(ctx, "fleet secret", func() error {
		o, err := n.store.Create(ctx, keysKind, keysName, newSecret(n.seed))
		if err != nil {
			return err
		}
		var there secret
		if err := json.Unmarshal(o.Spec, &there); err == nil && there == newSecret(n.seed) {
			return nil
		}
		n.log.Error("store has a different fleet secret; nodes that use it cannot connect to this node until they restart", events.StoreRestored.Attr())
		_, err = n.store.Write(ctx, keysKind, keysName, newSecret(n.seed), true)
		return err
	})
	if err != nil {
		n.log.Warn("fleet secret could not be rewritten to the store", events.PlatformFailed.Attr(), "error", err)
	}
}

// registrationLost registers this node again after the store has lost its entry.
func (n *Node) registrationLost() {
	n.group.Go(func() error {
		self := n.self
		rank, err := n.store.Write(n.running, platform.NodesKind, self.Name, self, false)
		if err != nil {
			n.log.Warn("node could not be registered again", events.PlatformFailed.Attr(), "error", err)
			return nil
		}
		self.Rank = rank
		n.fleet.LearnOne(self)
		return nil
	})
}

// others reports whether other nodes are registered. It returns true if the store cannot
// be read.
func (n *Node) others(ctx context.Context) bool {
	objects, err := n.store.Peek(ctx, platform.NodesKind)
	if err != nil {
		return true // No secret is written before the store responds.
	}
	for _, o := range objects {
		if f, err := platform.DecodeNode(o); err == nil && f.Name != n.self.Name {
			return true
		}
	}
	return false
}
