package gatewaynode_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
)

// Guards against a node that stops late removing the registration that a newer process of its VM has written.
func TestStopKeepsRegistrationOfSuccessor(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	name := s.Store.Names(platform.NodesKind)[0]
	spec, _ := s.Store.Get(platform.NodesKind, name)
	var successor catkinspindle.Node
	if err := json.Unmarshal(spec, &successor); err != nil {
		t.Fatal(err)
	}
	successor.Incarnation++
	s.Store.Put(platform.NodesKind, name, successor)
	if err := s.StopNode(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(successor.Incarnation, registeredIncarnations(t, s)[name]); diff != "" {
		t.Errorf("incarnation in the store after the stop (-want +got):\n%s", diff)
	}
}

// Guards against the registration of a VM that is gone for good staying in the store.
func TestRegistrationOfNodeThatIsGoneIsRemoved(t *testing.T) {
	t.Parallel()
	const (
		gone = "gone"
		// limit is the time by which the membership has ended, a minute after the last sign of life.
		limit = 90 * time.Second
	)
	s := start(t, 2)
	want := s.Store.Names(platform.NodesKind)
	s.Store.Put(platform.NodesKind, gone, catkinspindle.Node{Name: gone, Incarnation: 1, PeerAddress: "127.0.0.1:1", CallersAddress: "127.0.0.1:1"})
	for end := time.Now().Add(limit); slices.Contains(s.Store.Names(platform.NodesKind), gone) && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	if diff := cmp.Diff(want, s.Store.Names(platform.NodesKind)); diff != "" {
		t.Errorf("registrations (-want +got):\n%s", diff)
	}
}
