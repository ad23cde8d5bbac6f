package readbudget_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/readbudget"
)

func TestMessagesUpToTheLimitAreRead(t *testing.T) {
	for size, want := range map[int]error{0: nil, 999: nil, 1000: nil, 1001: readbudget.ErrTooLong} {
		b := readbudget.New(1 << 20)
		data, err := io.ReadAll(b.Limit(bytes.NewReader(make([]byte, size)), 1000))
		if !errors.Is(err, want) || len(data) != min(size, 1000) {
			t.Errorf("message of %d bytes: %d read, error %v, want %v", size, len(data), err, want)
		}
	}
}

func TestReadersShareABudget(t *testing.T) {
	total := readbudget.New(30)
	shares := []*readbudget.Budget{total.Share(20), total.Share(20)}
	var got []bool
	var readers []io.ReadCloser
	read := func(share, size int) {
		r := shares[share].Limit(bytes.NewReader(make([]byte, size)), 100)
		_, err := io.ReadFull(r, make([]byte, size))
		got = append(got, err == nil)
		readers = append(readers, r)
	}
	read(0, 15) // The first share has 5 left, the total 15.
	read(0, 6)  // Over the share.
	read(1, 16) // Over the total.
	read(1, 15)
	for _, r := range readers {
		_ = r.Close() // It returns no error.
	}
	read(1, 20)
	if diff := cmp.Diff([]bool{true, false, false, true, true}, got); diff != "" {
		t.Errorf("messages read (-want +got):\n%s", diff)
	}
}
