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
	// secretWait is how long a node that starts waits for the others to write the
	// secret of the fleet again. A node that follows the store notices within two
	// seconds that it has been restored.
	secretWait = 3 * time.Second
	// restoredMetric counts how often the store has been restored from a copy.
	restoredMetric = "store-restored"
)

var errSecretAwaited = errors.New("other nodes are registered, but the store has no secret")

type secret struct {
	Seed string `json:"seed"`
}

func newSecret(seed []byte) secret {
	return secret{Seed: base64.StdEncoding.EncodeToString(seed)}
}

// storeRestored writes again what a restored store may have lost. The operators write
// the configuration again, the replicas their entries.
func (n *Node) storeRestored(era int64) {
	n.log.Warn("store restored from a copy", events.StoreRestored.Attr(), "era", era)
	metrics.GetOrRegisterCounter(restoredMetric, n.metrics).Inc(1)
	if !n.isJoined() {
		return
	}
	n.group.Go(func() error {
		n.keepSecret(n.running)
		return nil
	})
}

// keepSecret makes sure that the store has the secret that the nodes share, so that
// nodes that start later reach them.
func (n *Node) keepSecret(ctx context.Context) {
	err := n.persist(ctx, "secret of the fleet", func() error {
		o, err := n.store.Create(ctx, keysKind, keysName, newSecret(n.seed))
		if err != nil {
			return err
		}
		var there secret
		if err := json.Unmarshal(o.Spec, &there); err == nil && there == newSecret(n.seed) {
			return nil
		}
		n.log.Error("another secret was written, nodes that took it cannot reach this one until they start again", events.StoreRestored.Attr())
		_, err = n.store.Write(ctx, keysKind, keysName, newSecret(n.seed), true)
		return err
	})
	if err != nil {
		n.log.Warn("secret not written again", events.PlatformFailed.Attr(), "error", err)
	}
}

// registrationLost registers this node again.
func (n *Node) registrationLost() {
	n.group.Go(func() error {
		self := n.self
		rank, err := n.store.Write(n.running, platform.NodesKind, self.Name, self, false)
		if err != nil {
			n.log.Warn("not registered again", events.PlatformFailed.Attr(), "error", err)
			return nil
		}
		self.Rank = rank
		n.fleet.LearnOne(self)
		return nil
	})
}

// others reports whether other nodes are registered.
func (n *Node) others(ctx context.Context) bool {
	objects, err := n.store.Peek(ctx, platform.NodesKind)
	if err != nil {
		return true // The store has to answer before a secret is written.
	}
	for _, o := range objects {
		if f, err := platform.DecodeNode(o); err == nil && f.Name != n.self.Name {
			return true
		}
	}
	return false
}
