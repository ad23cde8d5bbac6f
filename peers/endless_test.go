package peers_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
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

// startEndless starts a peer that answers each request with bytes without an end until the
// stream breaks, and counts them.
func startEndless(t *testing.T, dir string, sent *atomic.Int64) string {
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
						sendEndless(s, sent)
						return nil
					})
				}
			})
		}
	})
	return l.Addr().String()
}

func sendEndless(s *quic.Stream, sent *atomic.Int64) {
	_, err := s.Write(endlessText)
	for err == nil {
		var n int
		n, err = s.Write(endlessChunk)
		sent.Add(int64(n))
	}
}

// TestEndlessAnswerToTunnelRequest guards against buffering whatever a peer sends before a tunnel
// is open.
func TestEndlessAnswerToTunnelRequest(t *testing.T) {
	dir := t.TempDir()
	p, _ := start(t, dir, "a")
	var sent atomic.Int64
	address := startEndless(t, dir, &sent)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
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
