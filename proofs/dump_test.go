package proofs_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDumpShowsTheStateOfAProcess(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallFleet()
		s.nodes, s.engines = 1, 1
		f := newFleet(t, s)
		f.spawn(func() { f.sendPrompt("long", "vm-00", 120_000, 20*time.Second) })
		time.Sleep(100 * time.Millisecond)
		state := f.node("vm-00").State()
		got := []any{
			state.Ready, len(state.Members), state.LeadsDataCentre, state.FencingToken > 0,
			len(state.Streams["engine-00"]), cmp.Diff(state.Streams, state.Ledgers),
			strings.HasPrefix(strings.TrimSpace(state.Config), "models:"),
		}
		if diff := cmp.Diff([]any{true, 1, true, true, 1, "", true}, got); diff != "" {
			t.Error(diff)
		}
		_ = f.group.Wait()
	})
}
