package backends_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/backends"
)

// serveDuplicateResponses starts a server that passes each request's number to answer and
// sends the result. On a reused connection it first sends a duplicate of the previous
// response.
func serveDuplicateResponses(t *testing.T, answer func(n int) (status int, body string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	group.Go(func() error {
		for n := 1; ; {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			previous := ""
			for r := bufio.NewReader(conn); ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					break
				}
				status, body := answer(n)
				response := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
				if _, err := io.WriteString(conn, previous+response); err != nil {
					break
				}
				previous = response
			}
			if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
				return err
			}
		}
	})
	return l.Addr().String()
}

// A backend server may send a response twice. On a reused connection, the duplicate would be
// read as the response to the next call.
func TestDuplicateReplyIsNotTakenForNextCall(t *testing.T) {
	address := serveDuplicateResponses(t, func(n int) (int, string) { return http.StatusOK, fmt.Sprint(n) })
	service := backends.New(time.Second).Plain(catkinspindle.VM{Address: address})
	var got []string
	for range 3 {
		reply, err := service.Call(context.Background(), catkinspindle.PlainCall{Service: "s", Method: "buy", Deadline: time.Now().Add(10 * time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(reply.Body))
	}
	if diff := cmp.Diff([]string{"1", "2", "3"}, got); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
}

// A refusal that is sent again would tell the caller of the next call that it was not run.
func TestDuplicateRefusalIsNotTakenForNextCall(t *testing.T) {
	address := serveDuplicateResponses(t, func(n int) (int, string) {
		if n == 1 {
			return http.StatusServiceUnavailable, `{"verdict":"not-run","reason":"stopping","message":"leaving"}`
		}
		return http.StatusOK, fmt.Sprint(n)
	})
	service := backends.New(time.Second).Plain(catkinspindle.VM{Address: address})
	var got []string
	for range 3 {
		reply, err := service.Call(context.Background(), catkinspindle.PlainCall{Service: "s", Method: "buy", Deadline: time.Now().Add(10 * time.Second)})
		if err != nil {
			got = append(got, catkinspindle.AsFailure(err).Verdict.String())
			continue
		}
		got = append(got, string(reply.Body))
	}
	if diff := cmp.Diff([]string{"not-run", "2", "3"}, got); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
}

// A duplicate of a stream's response must not be read as the response to the next stream.
func TestDuplicateStreamIsNotTakenForNextStream(t *testing.T) {
	address := serveDuplicateResponses(t, func(n int) (int, string) { return http.StatusOK, fmt.Sprintf("{\"offset\":%d,\"end\":true}\n", n) })
	engine := backends.New(time.Second).Engine(catkinspindle.VM{Address: address})
	var got []int
	for range 3 {
		stream, err := engine.Start(context.Background(), catkinspindle.StreamStart{})
		if err != nil {
			t.Fatal(err)
		}
		chunk, err := stream.Next()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, chunk.Offset)
		if _, err := stream.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("end of the stream: %v", err)
		}
		stream.Close()
	}
	if diff := cmp.Diff([]int{1, 2, 3}, got); diff != "" {
		t.Errorf("streams (-want +got):\n%s", diff)
	}
}
