package addresses_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/addresses"
)

func newHandler(nodes int, ready bool) *addresses.Handler {
	liveNodes := func() []catkinspindle.Node {
		var list []catkinspindle.Node
		for i := range nodes {
			list = append(list, catkinspindle.Node{CallersAddress: fmt.Sprintf("a%d", i)})
		}
		return append(list, catkinspindle.Node{Name: "without an address"})
	}
	encode := func(list []string, lifetime time.Duration) ([]byte, error) {
		return []byte(strings.Join(list, " ") + " " + lifetime.String()), nil
	}
	return addresses.New(liveNodes, func() bool { return ready }, time.Second, encode)
}

func TestAddresses(t *testing.T) {
	tests := map[string]struct {
		nodes, status, count int
	}{
		"some": {3, 200, 3},
		"many": {80, 200, 64},
		"none": {0, 503, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			newHandler(tt.nodes, true).ServeAddresses(w, httptest.NewRequest(http.MethodGet, "/", nil))
			if diff := cmp.Diff(tt.status, w.Code); diff != "" {
				t.Fatalf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.count, strings.Count(w.Body.String(), "a")); tt.status == 200 && diff != "" {
				t.Errorf("addresses (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReady(t *testing.T) {
	for ready, want := range map[bool]int{true: 200, false: 503} {
		w := httptest.NewRecorder()
		newHandler(1, ready).ServeReadiness(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if diff := cmp.Diff(want, w.Code); diff != "" {
			t.Errorf("status when ready is %t (-want +got):\n%s", ready, diff)
		}
	}
}

// When there are more nodes than fit into a response, the addresses are balanced across
// the data centres.
func TestAddressesOfAllDataCentres(t *testing.T) {
	var nodes []catkinspindle.Node
	for _, dc := range []string{"a", "b", "c", "d", "e"} {
		for i := range 59 {
			nodes = append(nodes, catkinspindle.Node{Name: fmt.Sprintf("%s-%d", dc, i), CallersAddress: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc})
		}
	}
	counts := map[string]int{}
	a := addresses.New(func() []catkinspindle.Node { return nodes }, func() bool { return true }, time.Second,
		func(list []string, _ time.Duration) ([]byte, error) {
			for _, address := range list {
				counts[address[:1]]++
			}
			return nil, nil
		})
	a.ServeAddresses(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	if diff := cmp.Diff(map[string]int{"a": 13, "b": 13, "c": 13, "d": 13, "e": 12}, counts); diff != "" {
		t.Errorf("addresses by data centre (-want +got):\n%s", diff)
	}
}
