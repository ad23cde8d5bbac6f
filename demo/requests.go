package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/answer"
)

const (
	maxTokens      = 32
	requestTimeout = 30 * time.Second
)

// promptLengths are the prompt lengths in tokens. The longest needs several engines.
var promptLengths = []int{1_000, 10_000, 100_000, 1_000_000}

// sendRequests sends the prompts and the action, and checks and prints the results.
func (f *Fleet) sendRequests(ctx context.Context, out io.Writer) error {
	client := f.Client()
	var errs []error
	for i, tokens := range promptLengths {
		req := catkinspindle.Request{
			Model:     "storyteller",
			Prompt:    Prompt(fmt.Sprintf("prompt %d", i), tokens),
			MaxTokens: maxTokens,
			Deadline:  time.Now().Add(requestTimeout),
		}
		got, err := client.Complete(ctx, req)
		want := answer.New("storyteller@1", "").Append(req.Prompt).Text(maxTokens)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("prompt of %d tokens: %w", tokens, err))
		case got.Text != want:
			errs = append(errs, fmt.Errorf("prompt of %d tokens: wrong answer %q", tokens, got.Text))
		default:
			_, _ = fmt.Fprintf(out, "prompt of %9d tokens: first token after %8v, whole answer of %d bytes\n", tokens, got.FirstToken.Round(time.Millisecond), len(got.Text))
		}
	}
	return errors.Join(append(errs, f.sendAction(ctx, out))...)
}

// sendAction sends the same action with the same idempotency key through every node and
// checks that it is executed once.
func (f *Fleet) sendAction(ctx context.Context, out io.Writer) error {
	client := f.Client()
	_, origin, err := client.Addresses(ctx)
	if err != nil {
		return err
	}
	call := catkinspindle.PlainCall{
		Service:  "archive",
		Method:   "bookmark",
		Key:      "demo-bookmark",
		Body:     []byte("chapter 7"),
		Deadline: time.Now().Add(requestTimeout),
	}
	for _, url := range f.URLs {
		reply, err := client.CallAt(ctx, url, call, origin)
		if err != nil {
			return fmt.Errorf("action: %w", err)
		}
		_, _ = fmt.Fprintf(out, "action through %s: %s\n", url, reply.Body)
	}
	executed := len(f.Plain.History())
	_, _ = fmt.Fprintf(out, "the archive executed the action %d time(s) for %d requests\n", executed, len(f.URLs))
	if executed != 1 {
		return fmt.Errorf("action was executed %d times", executed)
	}
	return nil
}

// Prompt returns a prompt of the given number of tokens that begins with title.
func Prompt(title string, tokens int) string {
	const filler = "the quick brown fox jumps over the lazy dog and "
	size := tokens * catkinspindle.BytesPerToken
	var b strings.Builder
	b.Grow(size + len(filler))
	b.WriteString(title)
	b.WriteString(": ")
	for b.Len() < size {
		b.WriteString(filler)
	}
	return b.String()[:size]
}
