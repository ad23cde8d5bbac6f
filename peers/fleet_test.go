package peers_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/peers"
)

func startWithSecret(t *testing.T, address string, secret byte, answer string) *peers.Transport {
	t.Helper()
	config, err := keys.NewFleetTLSConfig(bytes.Repeat([]byte{secret}, keys.FleetSecretSize), peers.Protocol)
	if err != nil {
		t.Fatal(err)
	}
	p := peers.NewWithTLS(address, config, slog.New(slog.DiscardHandler))
	p.Handle("name", func(context.Context, func(any) error) (any, error) { return answer, nil })
	p.Handle("wait", func(ctx context.Context, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return p
}

func callName(p *peers.Transport, address string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var got string
	err := p.Call(ctx, address, "name", nil, &got)
	return got, err
}

func stop(t *testing.T, p *peers.Transport) {
	t.Helper()
	if err := p.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// A peer with another fleet secret must not get a response.
func TestPeerWithOtherSecretIsRefused(t *testing.T) {
	address := freeAddress(t)
	server := startWithSecret(t, address, 1, "server")
	defer stop(t, server)
	trusted := startWithSecret(t, freeAddress(t), 1, "friend")
	defer stop(t, trusted)
	untrusted := startWithSecret(t, freeAddress(t), 2, "stranger")
	defer stop(t, untrusted)
	if got, err := callName(trusted, address, 10*time.Second); err != nil || got != "server" {
		t.Errorf("answer %q, error %v", got, err)
	}
	if got, err := callName(untrusted, address, 10*time.Second); err == nil {
		t.Errorf("a peer with another secret got the answer %q", got)
	}
}

// Stop must free the peer's address at once, also while a caller has an open connection
// and a call in flight.
func TestStopFreesTheAddress(t *testing.T) {
	for range 10 {
		address := freeAddress(t)
		server := startWithSecret(t, address, 1, "server")
		caller := startWithSecret(t, freeAddress(t), 1, "caller")
		if _, err := callName(caller, address, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		var group errgroup.Group
		group.Go(func() error { return caller.Call(context.Background(), address, "wait", nil, nil) })
		stop(t, server)
		stop(t, startWithSecret(t, address, 1, "next"))
		if err := group.Wait(); err == nil {
			t.Error("a call to a stopped peer was answered")
		}
		stop(t, caller)
	}
}

// A peer that restarts at the same address must be reachable again after a call that gets
// no response, long before the old connection reaches its idle timeout of 5 s.
func TestRestartedPeerIsReachedAgain(t *testing.T) {
	address := freeAddress(t)
	old := startWithSecret(t, address, 1, "old")
	caller := startWithSecret(t, freeAddress(t), 1, "caller")
	defer stop(t, caller)
	if _, err := callName(caller, address, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	stop(t, old)
	restarted := startWithSecret(t, address, 1, "new")
	defer stop(t, restarted)
	var got string
	var err error
	for range 20 {
		if got, err = callName(caller, address, time.Second); err == nil {
			break
		}
	}
	if diff := cmp.Diff("new", got); diff != "" {
		t.Errorf("answer, error %v (-want +got):\n%s", err, diff)
	}
}

func TestShortSecretIsRejected(t *testing.T) {
	if _, err := keys.NewFleetTLSConfig([]byte("short"), peers.Protocol); err == nil {
		t.Error("a short secret is accepted")
	}
}
