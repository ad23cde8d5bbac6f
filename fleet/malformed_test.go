package fleet_test

import (
	"bytes"
	"compress/flate"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

// snapshot and stateUpdate mirror the unexported messages that carry a configuration or a
// list of replicas between nodes.
type snapshot struct {
	Version  int64         `cbor:"1,keyasint"`
	Deflated []byte        `cbor:"2,keyasint"`
	Wait     time.Duration `cbor:"3,keyasint,omitempty"`
}

type stateUpdate struct {
	Routing  *snapshot `cbor:"1,keyasint,omitempty"`
	Replicas *snapshot `cbor:"2,keyasint,omitempty"`
	From     string    `cbor:"4,keyasint"`
}

func compressed(t testing.TB, data []byte) []byte {
	t.Helper()
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func encoded(t testing.TB, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newReceiver returns a network with a node that has version 3 and handles messages without
// being started, and the node's view.
func newReceiver() (*network, *view.View) {
	net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}}
	v := view.New(nil)
	v.SetRouting(openRouting(3))
	fleet.New(member(0, 1), endpoint{net, "peer-n0"}, v, func(context.Context) {}, slog.New(slog.DiscardHandler))
	return net, v
}

// A configuration that cannot be decoded, or whose version differs from its message's,
// changes nothing; a valid one that follows is adopted.
func TestMalformedConfigurationIsIgnored(t *testing.T) {
	good := encoded(t, openRouting(9))
	tests := map[string]snapshot{
		"not compressed":      {9, good, 0},
		"cut off":             {9, compressed(t, good)[:4], 0},
		"not a routing":       {9, compressed(t, encoded(t, "text")), 0},
		"another version":     {12, compressed(t, good), 0},
		"empty":               {9, nil, 0},
		"older":               {2, compressed(t, encoded(t, openRouting(2))), 0},
		"larger than allowed": {9, compressed(t, append(good, make([]byte, 20<<20)...)), 0},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			net, v := newReceiver()
			sender := endpoint{net, "peer-n1"}
			if err := sender.Call(context.Background(), "peer-n0", "news", stateUpdate{&p, nil, "n1"}, nil); err != nil {
				t.Errorf("the message is not answered: %v", err)
			}
			if diff := cmp.Diff(int64(3), v.State().Version()); diff != "" {
				t.Errorf("version (-want +got):\n%s", diff)
			}
			if err := sender.Call(context.Background(), "peer-n0", "news", stateUpdate{&snapshot{9, compressed(t, good), 0}, nil, "n1"}, nil); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(int64(9), v.State().Version()); diff != "" {
				t.Errorf("version after a valid message (-want +got):\n%s", diff)
			}
		})
	}
}

// A list of replicas that cannot be decoded changes nothing; later changes apply to the
// previous list.
func TestMalformedListIsIgnored(t *testing.T) {
	tests := map[string][]byte{
		"not compressed": []byte("garbage"),
		"no list":        compressed(t, encoded(t, nil)),
		"not a list":     compressed(t, encoded(t, "text")),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			net, v := newReceiver()
			v.SetReplicas(map[string]catkinspindle.Replica{"a": {ID: "a"}}, position(5), time.Time{})
			sender := endpoint{net, "peer-n1"}
			if err := sender.Call(context.Background(), "peer-n0", "news", stateUpdate{nil, &snapshot{9, data, time.Second}, "n1"}, nil); err != nil {
				t.Errorf("the message is not answered: %v", err)
			}
			v.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "b"}}}, position(6), time.Time{})
			if diff := cmp.Diff(2, len(v.State().Replicas)); diff != "" {
				t.Errorf("replicas (-want +got):\n%s", diff)
			}
		})
	}
}

// No message makes a handler panic or replaces the configuration by an older one.
func FuzzMessages(f *testing.F) {
	f.Add("news", encoded(f, stateUpdate{&snapshot{9, compressed(f, encoded(f, openRouting(9))), 0}, nil, "n1"}))
	f.Add("news", encoded(f, stateUpdate{&snapshot{9, []byte("garbage"), 0}, nil, "n1"}))
	f.Add("news", encoded(f, stateUpdate{nil, &snapshot{9, compressed(f, encoded(f, nil)), time.Second}, "n1"}))
	f.Add("beat", encoded(f, map[int]any{1: member(1, 1), 2: 4, 3: 5}))
	f.Add("beat", []byte{0xff})
	f.Add("routing", []byte(nil))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		net, v := newReceiver()
		h := net.handlers["peer-n0"+kind]
		if h == nil {
			return
		}
		if _, err := h(context.Background(), func(v any) error { return cbor.Unmarshal(data, v) }); err != nil {
			t.Logf("rejected: %v", err)
		}
		if v.State().Version() < 3 {
			t.Errorf("version %d, want 3 or higher", v.State().Version())
		}
	})
}
