package peers_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/peers"
)

// endlessText is the start of a CBOR map with a byte string of indefinite length; endlessChunk is
// one of its chunks.
var (
	endlessText  = []byte{0xa1, 0x02, 0x5f}
	endlessChunk = append([]byte{0x59, 0x10, 0x00}, make([]byte, 4096)...)
)

// peerTLS returns the TLS configuration of a peer that start would accept.
func peerTLS(t *testing.T, dir, name string) *tls.Config {
	t.Helper()
	authority, err := keys.OpenOrCreateAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Issue(name); err != nil {
		t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: peers.ServerName, NextProtos: []string{peers.Protocol},
	}
}

// startEndless starts a peer that answers each request with size bytes of a message
// without an end, or fewer if the stream breaks, and counts them.
func startEndless(t *testing.T, dir string, size int64, sent *atomic.Int64) string {
	t.Helper()
	l, err := quic.ListenAddr("127.0.0.1:0", peerTLS(t, dir, "endless"), nil)
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			conn, err := l.Accept(ctx)
			if err != nil {
				return nil
			}
			context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "") })
			group.Go(func() error {
				for {
					s, err := conn.AcceptStream(ctx)
					if err != nil {
						return nil
					}
					group.Go(func() error {
						sendEndless(ctx, s, size, sent)
						return nil
					})
				}
			})
		}
	})
	return l.Addr().String()
}

func sendEndless(ctx context.Context, s *quic.Stream, size int64, sent *atomic.Int64) {
	_, err := s.Write(endlessText)
	for total := int64(0); err == nil && total < size; {
		var n int
		n, err = s.Write(endlessChunk)
		total += int64(n)
		sent.Add(int64(n))
	}
	if err == nil {
		<-ctx.Done()
	}
}

// TestEndlessAnswerToTunnelRequest guards against buffering whatever a peer sends before a tunnel
// is open.
func TestEndlessAnswerToTunnelRequest(t *testing.T) {
	dir := t.TempDir()
	p, _ := start(t, dir, "a")
	var sent atomic.Int64
	address := startEndless(t, dir, 1<<40, &sent)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	tun, err := p.OpenTunnel(ctx, address, "raw", "x")
	if err == nil {
		_ = tun.Close()
		t.Fatal("an answer without an end opened a tunnel")
	}
	if f := catkinspindle.AsFailure(err); f.Verdict != catkinspindle.NotRun || ctx.Err() != nil {
		t.Errorf("%v failure, want not-run before the deadline (%v): %v", f.Verdict, ctx.Err(), err)
	}
	// The peer may fill the initial receive window of 512 KiB beside what was read.
	if n := sent.Load(); n > 1<<20 {
		t.Errorf("peer could send %d bytes", n)
	}
}

// readLimits are limits of a transport that a test reaches long before an unfinished request ends.
var readLimits = peers.WithReadLimits(2<<20, 1<<20)

// stallRequests opens connections to address with as many streams, and sends on each size bytes of
// a request without an end. It returns the streams.
func stallRequests(t *testing.T, config *tls.Config, address string, conns, streams, size int) []*quic.Stream {
	t.Helper()
	var list []*quic.Stream
	for range conns {
		conn, err := quic.DialAddr(context.Background(), address, config, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
		for range streams {
			s, err := conn.OpenStreamSync(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, s)
		}
	}
	var group errgroup.Group
	for _, s := range list {
		group.Go(func() error {
			_ = s.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, err := s.Write(endlessText)
			for n := 0; err == nil && n < size; n += len(endlessChunk) {
				_, err = s.Write(endlessChunk)
			}
			return nil // A refused stream breaks.
		})
	}
	_ = group.Wait() // It returns no error.
	return list
}

// refused counts the streams that are refused for lack of memory, until there are enough or the time is
// over in which an unfinished request is kept.
func refused(list []*quic.Stream, enough int64) int64 {
	var n atomic.Int64
	var group errgroup.Group
	end := time.Now().Add(9 * time.Second)
	for _, s := range list {
		_ = s.SetReadDeadline(end)
		group.Go(func() error {
			var e *quic.StreamError
			if _, err := s.Read(make([]byte, 1)); errors.As(err, &e) && e.Remote && e.ErrorCode == 2 {
				n.Add(1)
			}
			return nil
		})
	}
	for n.Load() < enough && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range list {
		_ = s.SetReadDeadline(time.Now())
	}
	_ = group.Wait() // It returns no error.
	return n.Load()
}

// TestUnfinishedRequestsOfOnePeer guards against a limit for each request only: a peer that
// begins many of them must not fill the memory, nor keep other peers from being served.
func TestUnfinishedRequestsOfOnePeer(t *testing.T) {
	dir := t.TempDir()
	_, address := start(t, dir, "a", readLimits)
	other, _ := start(t, dir, "b")
	list := stallRequests(t, peerTLS(t, dir, "endless"), address, 1, 12, 256<<10)
	// A request of 256 KiB has a buffer of over 256 KiB; a connection may have 1 MiB.
	if n := int64(len(list)) - refused(list, 9); n > 3 {
		t.Errorf("%d of %d unfinished requests of 256 KiB are kept", n, len(list))
	}
	if got, err := call(other, address, "hello"); err != nil || got != "hello" {
		t.Errorf("another peer has the answer %q, %v", got, err)
	}
}

// TestUnfinishedRequestsOfAllPeers guards against a limit for each connection only.
func TestUnfinishedRequestsOfAllPeers(t *testing.T) {
	dir := t.TempDir()
	_, address := start(t, dir, "a", readLimits)
	list := stallRequests(t, peerTLS(t, dir, "endless"), address, 6, 3, 256<<10)
	if n := int64(len(list)) - refused(list, 11); n > 7 {
		t.Errorf("%d of %d unfinished requests of 256 KiB are kept", n, len(list))
	}
	other, _ := start(t, dir, "b")
	got, err := call(other, address, strings.Repeat("x", 1<<20))
	f := catkinspindle.AsFailure(err)
	if err == nil || f.Verdict != catkinspindle.NotRun || f.Reason != catkinspindle.ReasonOverload {
		t.Errorf("a large request beside them has an answer of %d bytes, %v; want not-run overload", len(got), err)
	}
}

// TestUnfinishedRequestEndsInTime guards against requests that stay unfinished for good and keep
// their share of the memory.
func TestUnfinishedRequestEndsInTime(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	_, address := start(t, dir, "a")
	list := stallRequests(t, peerTLS(t, dir, "endless"), address, 1, 1, 1<<20)
	_ = list[0].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := list[0].Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an unfinished request is kept for over 20 s: %v", err)
	}
}

// TestNormalTrafficOfManyPeers guards against a limit that refuses what a large fleet sends at once.
func TestNormalTrafficOfManyPeers(t *testing.T) {
	dir := t.TempDir()
	_, address := start(t, dir, "a")
	var callers []*peers.Transport
	for range 21 {
		c, _ := start(t, dir, "b")
		if _, err := call(c, address, "first"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	text := strings.Repeat("x", 16<<10)
	var group errgroup.Group
	for i := range 420 {
		group.Go(func() error {
			got, err := call(callers[i%len(callers)], address, text)
			if err == nil && got != text {
				err = errors.New("another answer")
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestUnfinishedResponsesOfOnePeer guards against a limit for each response only.
func TestUnfinishedResponsesOfOnePeer(t *testing.T) {
	const calls = 24
	dir := t.TempDir()
	p, _ := start(t, dir, "a")
	var sent atomic.Int64
	address := startEndless(t, dir, 1<<20, &sent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	var ended atomic.Int64
	for range calls {
		group.Go(func() error {
			err := p.Call(ctx, address, "echo", "x", nil)
			if f := catkinspindle.AsFailure(err); err == nil || f.Verdict != catkinspindle.MayHaveRun {
				return fmt.Errorf("failure %w, want may-have-run", err)
			}
			if ctx.Err() == nil {
				ended.Add(1)
			}
			return nil
		})
	}
	for end := time.Now().Add(time.Minute); calls-ended.Load() > 7 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := calls - ended.Load(); n > 7 {
		t.Errorf("%d of %d unfinished responses of 1 MiB are kept", n, calls)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
