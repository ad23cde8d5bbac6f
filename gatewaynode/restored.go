package gatewaynode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/platform"
)

const (
	// secretRewriteTimeout is how long a starting node waits for the others to rewrite
	// the fleet secret. A node that watches the store detects a restore within two
	// seconds.
	secretRewriteTimeout = 3 * time.Second
	// storeRestoresMetric counts restores of the store from a backup.
	storeRestoresMetric = "store-restored"
)

var errSecretMissing = errors.New("other nodes are registered but the store has no fleet secret")

type fleetSecret struct {
	Seed string `json:"seed"`
}

func newFleetSecret(secret []byte) fleetSecret {
	return fleetSecret{Seed: base64.StdEncoding.EncodeToString(secret)}
}

// storeRestored rewrites the fleet secret, which a restored store may have lost. The
// operators rewrite the configuration, and the replicas rewrite their entries.
func (n *Node) storeRestored(era int64) {
	n.log.Warn("store restored from a backup", events.StoreRestored.Attr(), "era", era)
	metrics.GetOrRegisterCounter(storeRestoresMetric, n.metrics).Inc(1)
	if !n.isJoined() {
		return
	}
	n.group.Go(func() error {
		n.rewriteSecret(n.runCtx)
		return nil
	})
}

// rewriteSecret ensures that the store has the fleet secret of the running nodes, so that
// nodes that start later can connect to them.
func (n *Node) rewriteSecret(ctx context.Context) {
	err := n.retry(ctx, "fleet secret", func() error {
		o, err := n.store.Create(ctx, secretKind, secretName, newFleetSecret(n.secret))
		if err != nil {
			return err
		}
		var stored fleetSecret
		if err := json.Unmarshal(o.Spec, &stored); err == nil && stored == newFleetSecret(n.secret) {
			return nil
		}
		n.log.Error("store has a different fleet secret; nodes that use it cannot connect to this node until they restart", events.StoreRestored.Attr())
		_, err = n.store.Write(ctx, secretKind, secretName, newFleetSecret(n.secret), true)
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
		revision, err := n.store.Write(n.runCtx, platform.NodesKind, self.Name, self, false)
		if err != nil {
			n.log.Warn("node could not be registered again", events.PlatformFailed.Attr(), "error", err)
			return nil
		}
		self.RegistrationRevision = revision
		n.fleet.AddRegistered(self)
		return nil
	})
}

// removeRegistration removes the registration of another node, whose membership has ended, unless that
// node has registered again.
func (n *Node) removeRegistration(other catkinspindle.Node) {
	err := n.store.Remove(n.runCtx, platform.NodesKind, other.Name, other.RegistrationRevision)
	switch {
	case errors.Is(err, catkinspindle.ErrConflict):
		n.log.Info("node has registered again, its membership continues", events.MembershipEnded.Attr(), "node", other.Name)
	case err != nil:
		n.log.Warn("registration of another node could not be removed, will retry", events.PlatformFailed.Attr(), "node", other.Name, "error", err)
	}
}

// otherNodesRegistered reports whether other nodes are registered. It returns true if the
// store cannot be read.
func (n *Node) otherNodesRegistered(ctx context.Context) bool {
	objects, err := n.store.ListStale(ctx, platform.NodesKind)
	if err != nil {
		return true // No secret is written before the store responds.
	}
	for _, o := range objects {
		if node, err := platform.DecodeNode(o); err == nil && node.Name != n.self.Name {
			return true
		}
	}
	return false
}
