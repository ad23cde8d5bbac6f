package catkinspindle_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// Nodes of earlier versions send a flag that is no longer read, and the rest of the latency
// objective, which may be used up.
func TestJobOfEarlierVersionIsRead(t *testing.T) {
	earlier := map[int]any{1: "n/1/1", 2: "s", 3: 5000, 5: 6 * time.Second, 6: -2 * time.Second, 8: 1, 12: true}
	data, err := cbor.Marshal(earlier)
	if err != nil {
		t.Fatal(err)
	}
	var got catkinspindle.Job
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := catkinspindle.Job{ID: "n/1/1", Service: "s", PromptTokens: 5000, TimeLeft: 6 * time.Second, LatencyObjective: -2 * time.Second, Priority: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
}
