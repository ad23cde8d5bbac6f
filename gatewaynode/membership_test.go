package gatewaynode_test

import (
	"context"
	"encoding/json"
	"testing"

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
