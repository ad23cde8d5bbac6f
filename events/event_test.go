package events_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogue checks that docs/events.md lists the same names and numbers as the code.
func TestCatalogue(t *testing.T) {
	code, err := os.ReadFile("event.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	find := func(pattern string, data []byte) map[string]string {
		all := map[string]string{}
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(data), -1) {
			all[m[1]+m[2]] = m[1] + " " + m[2]
		}
		return all
	}
	inCode := find(`(?m)^\t(\w+) +Event = (\d+)$`, code)
	inPage := find(`(?m)^\| (\w+) \| (\d+) \|`, page)
	if len(inCode) == 0 {
		t.Fatal("no events found")
	}
	if diff := cmp.Diff(inCode, inPage); diff != "" {
		t.Error(diff)
	}
}
