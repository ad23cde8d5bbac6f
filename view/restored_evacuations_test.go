package view_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// A store that comes back from an older copy has not taken back what its operators requested since.
func TestRestoredStoreDoesNotEndEvacuation(t *testing.T) {
	v := viewOfTwo()
	v.SetEvacuations(catkinspindle.NewEvacuations(at(5), "x"))
	v.SetEvacuations(catkinspindle.NewEvacuations(catkinspindle.Position{Era: at(5).Era + 1, Revision: 3}))
	if diff := cmp.Diff([]string{"b"}, accepting(v)); diff != "" {
		t.Errorf("replicas that accept requests (-want +got):\n%s", diff)
	}
}
