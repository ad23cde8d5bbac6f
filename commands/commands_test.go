package commands_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/commands"
)

func TestDemoAnswersAreComplete(t *testing.T) {
	var out, errs bytes.Buffer
	if code := commands.Execute([]string{"demo"}, &out, &errs); code != 0 {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	if got := strings.Count(out.String(), "whole answer"); got != 4 {
		t.Errorf("whole answers: %s", cmp.Diff(4, got))
	}
}
