package http1_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/http1"
)

// Connections are reused for further requests, and those of TLS are left alone.
func TestTransportsWithDial(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	servers := map[string]*httptest.Server{"plain": httptest.NewServer(echo), "TLS": httptest.NewTLSServer(echo)}
	for name, server := range servers {
		t.Run(name, func(t *testing.T) {
			defer server.Close()
			client := server.Client()
			client.Transport.(*http.Transport).DialContext = http1.Dial((&net.Dialer{}).DialContext)
			for _, size := range []int{0, 10, 1 << 20, 10} {
				want := strings.Repeat("x", size)
				resp, err := client.Post(server.URL, "text/plain", strings.NewReader(want))
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(want, string(got)); diff != "" {
					t.Errorf("body of %d bytes (-want +got):\n%s", size, diff)
				}
				_ = resp.Body.Close() // It has been read.
			}
		})
	}
}
