package gatewaynode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// deep is valid by itself, but not inside a page of the store.
var deep = json.RawMessage(`{"x":` + strings.Repeat("[", 9998) + strings.Repeat("]", 9998) + `}`)

func TestOddStoreEntryDoesNotEndTheFollowingOfReplicas(t *testing.T) {
	entry := func(addr, slots string) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"service":"pool","addr":%q,"zone":"dc","slots":%s,"state":"ready","born":1}`, addr, slots))
	}
	tests := map[string]json.RawMessage{
		"deeply nested":        deep,
		"port out of range":    entry("127.0.0.1:70000", "8"),
		"no port":              entry("127.0.0.1", "8"),
		"number too large":     entry("127.0.0.1:9", "1e400"),
		"slots too large":      entry("127.0.0.1:9", "99999999999999999999"),
		"another type":         json.RawMessage(`"text"`),
		"two values for a key": json.RawMessage(`{"service":"pool","service":7}`),
	}
	for name, spec := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 2)
			s.Store.Put(platform.ReplicasKind, "odd", spec)
			s.Store.Put(platform.NodesKind, "odd", spec)
			// A list and a watch must both be read.
			s.Store.Compact()
			s.DrainReplica("pool-0")
			await(t, "no request reaches a draining replica", func() bool {
				before := len(s.Pool[0].Arrivals())
				for i := range 12 {
					status, _, err := s.Send(context.Background(), s.CallersAddress(i%2), fmt.Sprintf("r%d-%d", before, i), http.MethodPost, "/chat/x", site.Key, 900)
					if err != nil || status != http.StatusOK {
						return false
					}
				}
				return len(s.Pool[0].Arrivals()) == before
			})
		})
	}
}
