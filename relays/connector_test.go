package relays_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/paths"
	"github.com/catkinspindle/catkinspindle/peers"
	"github.com/catkinspindle/catkinspindle/platform/standin/links"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/relays"
	"github.com/catkinspindle/catkinspindle/replicas"
)

const testTimeout = 20 * time.Second

// node is a node that connects to replicas.
type node struct {
	links  *links.Links
	relays *relays.Connector
}

// startNodes starts nodes that can connect through each other.
func startNodes(t *testing.T, count int) []node {
	t.Helper()
	config, err := keys.NewFleetTLSConfig(bytes.Repeat([]byte{1}, keys.FleetSecretSize), peers.Protocol)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	all := make([]catkinspindle.Node, count)
	nodes := make([]node, count)
	for i := range nodes {
		address, err := site.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		all[i] = catkinspindle.Node{Name: string(rune('a' + i)), PeerAddress: address}
	}
	for i := range nodes {
		l := links.New(replicas.NewDialer(0))
		nodes[i] = node{l, relays.New(l, paths.New(), log)}
		transport := peers.NewWithTLS(all[i].PeerAddress, config, log)
		nodes[i].relays.Join(all[i], transport, func() []catkinspindle.Node { return all })
		if err := transport.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := transport.Stop(context.Background()); err != nil {
				t.Log(err)
			}
		})
	}
	return nodes
}

// startReplica starts a replica that serves its connections with f, one after the other.
func startReplica(t *testing.T, f func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The listener is closed.
			}
			f(c.(*net.TCPConn))
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait() // No function returns an error.
	})
	return l.Addr().String()
}

func hold(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

func connect(t *testing.T, n node, address string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return n.relays.Connect(ctx, address)
}

func TestBrokenConnectionDoesNotLookCompleteThroughAnotherNode(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, 2)
			address := startReplica(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 4))
				_, _ = c.Write([]byte("part"))
				if reset {
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			})
			nodes[0].links.Set(links.RefuseNew)
			c, err := connect(t, nodes[0], address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, ok := c.(catkinspindle.Tunnel); !ok {
				t.Fatalf("connection is a %T, want a tunnel", c)
			}
			if _, err := c.Write([]byte("ping")); err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(c)
			if (err != nil) != reset {
				t.Errorf("end of the data: error %v, reset %t", err, reset)
			}
		})
	}
}

func TestClosingATunnelClosesTheConnectionToTheReplica(t *testing.T) {
	nodes := startNodes(t, 2)
	closed := make(chan error, 1)
	address := startReplica(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		closed <- err
	})
	nodes[0].links.Set(links.Silent)
	c, err := connect(t, nodes[0], address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the replica's connection is still open")
	}
}

// Only a node whose own paths work can tell that a replica is unreachable.
func TestUnreachableReplicaIsConfirmedByNodesWithPathsOnly(t *testing.T) {
	tests := map[string]struct {
		otherCut  links.Cut
		confirmed bool
	}{
		"other node has paths":              {links.None, true},
		"other node is cut as well":         {links.RefuseNew, false},
		"other node is cut as well, silent": {links.Silent, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, 2)
			sound, gone := startReplica(t, hold), "127.0.0.1:1"
			c, err := connect(t, nodes[1], sound)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			nodes[0].links.Set(links.RefuseNew)
			nodes[1].links.Set(tt.otherCut)
			_, err = connect(t, nodes[0], gone)
			var failure *catkinspindle.ConnectFailure
			if !errors.As(err, &failure) {
				t.Fatalf("error %v, want a ConnectFailure", err)
			}
			if diff := cmp.Diff(tt.confirmed, failure.Confirmed); diff != "" {
				t.Errorf("confirmed (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNodesWithoutPathsDoNotPassConnectionsOn(t *testing.T) {
	nodes := startNodes(t, 3)
	address := startReplica(t, hold)
	nodes[0].links.Set(links.RefuseNew)
	nodes[1].links.Set(links.RefuseNew)
	for range 8 {
		c, err := connect(t, nodes[0], address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	if got := nodes[1].relays.Active(); got > 0 {
		t.Errorf("the node without paths relays %d connections", got)
	}
}

// TestRelayToAReplicaThatReadsNothingEnds guards against relays that stay for good when the replica
// neither reads nor writes and the node has closed its end.
func TestRelayToAReplicaThatReadsNothingEnds(t *testing.T) {
	nodes := startNodes(t, 2)
	release := make(chan struct{})
	address := startReplica(t, func(c *net.TCPConn) {
		<-release
		_ = c.Close()
	})
	t.Cleanup(func() { close(release) })
	nodes[0].links.Set(links.RefuseNew)
	c, err := connect(t, nodes[0], address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for err == nil {
		var n int
		n, err = c.Write(make([]byte, 64<<10))
		sent += n
	}
	if err := c.Close(); err != nil {
		t.Log(err)
	}
	for deadline := time.Now().Add(testTimeout / 2); nodes[1].relays.Active() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the relay goes on after its node has closed it; %d bytes were sent", sent)
		}
	}
}
