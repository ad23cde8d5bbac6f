package proofs_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle/operators"
)

func TestStaleEditIsRefusedWithDiff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet())
		n := f.node("vm-00")
		h := operators.New("", n.Snapshot, n.Config(), n.State, metrics.NewRegistry()).Handler()
		put := func(base int64, edit, text string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, fmt.Sprintf("/text?base=%d&edit=%s", base, edit), strings.NewReader(text)))
			return w
		}
		_, base := n.Config().Current()
		text := baseConfig(3, 2)
		first := put(base, "mine", text+"# mine\n")
		again := put(base, "mine", text+"# mine\n")
		stale := put(base, "yours", text+"# yours\n")
		broken := put(base, "broken", "models: [")
		if diff := cmp.Diff([]int{200, 200, 409, 400}, []int{first.Code, again.Code, stale.Code, broken.Code}); diff != "" {
			t.Error(diff)
		}
		if !strings.Contains(stale.Body.String(), "+# mine") || !strings.Contains(stale.Body.String(), `"verdict":"not-run"`) {
			t.Errorf("refusal does not contain the diff: %s", stale.Body)
		}
		raw, _ := n.Config().Current()
		if !strings.HasSuffix(string(raw), "# mine\n") {
			t.Errorf("configuration in force does not end with the accepted edit: %s", raw)
		}
	})
}
