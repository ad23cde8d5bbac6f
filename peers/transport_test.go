package peers_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/peers"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func start(t *testing.T, dir, name string, opts ...peers.Option) (*peers.Transport, string) {
	t.Helper()
	authority, err := keys.OpenOrCreateAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Issue(name); err != nil {
		t.Fatal(err)
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	address := freeAddress(t)
	p, err := peers.NewFromFiles(address, file(name+".pem"), file(name+"-key.pem"), file("authority.pem"), slog.New(slog.DiscardHandler), opts...)
	if err != nil {
		t.Fatal(err)
	}
	p.Handle("echo", func(_ context.Context, decode func(any) error) (any, error) {
		var s string
		if err := decode(&s); err != nil {
			return nil, err
		}
		if s == "fail" {
			return nil, catkinspindle.Fail(catkinspindle.Ran, catkinspindle.ReasonConflict, "as asked").WithRetryAfter(time.Second)
		}
		return s, nil
	})
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Stop(context.Background()) })
	return p, address
}

func call(p *peers.Transport, address string, req any) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	err := p.Call(ctx, address, "echo", req, &got)
	return got, err
}

func TestCall(t *testing.T) {
	dir := t.TempDir()
	a, _ := start(t, dir, "a")
	_, address := start(t, dir, "b")
	got, err := call(a, address, "hello")
	if err != nil || got != "hello" {
		t.Errorf("answer %q, %v", got, err)
	}
	_, err = call(a, address, "fail")
	f := catkinspindle.AsFailure(err)
	want := []string{"ran", "conflict", "1s"}
	if diff := cmp.Diff(want, []string{f.Verdict.String(), string(f.Reason), f.RetryAfter.String()}); diff != "" {
		t.Error(diff)
	}
	if _, err := call(a, address, 7); catkinspindle.AsFailure(err).Reason != catkinspindle.ReasonBadRequest {
		t.Errorf("malformed message: %v", err)
	}
	if got, err := call(a, address, "still there"); err != nil {
		t.Errorf("after a malformed message: %q, %v", got, err)
	}
}

func TestUntrustedPeerIsRefused(t *testing.T) {
	trustedDir, otherDir := t.TempDir(), t.TempDir()
	_, address := start(t, trustedDir, "a")
	untrusted, _ := start(t, otherDir, "b")
	if got, err := call(untrusted, address, "hello"); err == nil {
		t.Errorf("a peer of another authority got the answer %q", got)
	}
	trusted, _ := start(t, trustedDir, "c")
	if _, err := call(trusted, address, "hello"); err != nil {
		t.Errorf("call of a trusted peer after a refused one: %v", err)
	}
}

func TestUnreachablePeerIsNotRun(t *testing.T) {
	p, _ := start(t, t.TempDir(), "a")
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := p.Call(ctx, freeAddress(t), "echo", "x", nil)
	f := catkinspindle.AsFailure(err)
	if diff := cmp.Diff("not-run peer-unreachable", fmt.Sprint(f.Verdict, " ", f.Reason)); diff != "" {
		t.Error(diff)
	}
}

func TestCancelledCallLeavesTheOthersAlone(t *testing.T) {
	dir := t.TempDir()
	a, _ := start(t, dir, "a")
	b, address := start(t, dir, "b")
	waiting, proceed := make(chan struct{}, 2), make(chan struct{})
	b.Handle("wait", func(context.Context, func(any) error) (any, error) {
		waiting <- struct{}{}
		<-proceed
		return "done", nil
	})
	cancelled, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, ctx := range []context.Context{cancelled, context.Background()} {
		group.Go(func() error {
			var got string
			err := a.Call(ctx, address, "wait", "", &got)
			if ctx != cancelled {
				return err
			}
			if err == nil {
				return errors.New("the cancelled call has an answer")
			}
			close(proceed)
			return nil
		})
	}
	<-waiting
	<-waiting
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
