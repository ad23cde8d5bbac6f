package demo_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/demo"
	"github.com/catkinspindle/catkinspindle/entries"
	"github.com/catkinspindle/catkinspindle/platform/standin/links"
	"github.com/catkinspindle/catkinspindle/replicas"
)

const (
	settleTime = 3 * time.Second
	tries      = 5
)

func TestVMWithoutPathsServesItsCallers(t *testing.T) {
	for name, cut := range map[string]links.Cut{"silent": links.Silent, "reset": links.Reset, "new connections refused": links.RefuseNew} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx := context.Background()
			paths := map[int]*links.Links{}
			f, err := demo.New(ctx, slog.New(slog.DiscardHandler), demo.WithConnectors(func(node int) catkinspindle.Connector {
				paths[node] = links.New(replicas.NewDialer(0))
				return paths[node]
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				paths[0].Set(links.None)
				if err := f.Close(ctx); err != nil {
					t.Error(err)
				}
			}()
			paths[0].Set(cut)
			time.Sleep(settleTime)
			client := entries.New(demo.WorkspaceKey, f.URLs[0])
			_, origin, err := client.Addresses(ctx)
			if err != nil {
				t.Fatal(err)
			}
			for i := range tries {
				answer, err := client.CompleteAt(ctx, f.URLs[0], catkinspindle.Request{Model: "storyteller", Prompt: demo.Prompt(fmt.Sprint(i), 1000), MaxTokens: 8, Deadline: time.Now().Add(20 * time.Second)})
				if err != nil || answer.Text == "" {
					t.Errorf("prompt %d: answer %q, error %v", i, answer.Text, err)
				}
				call := catkinspindle.PlainCall{Service: "archive", Method: "bookmark", Key: fmt.Sprint("key-", i), Body: []byte("chapter"), Deadline: time.Now().Add(20 * time.Second)}
				if _, err := client.CallAt(ctx, f.URLs[0], call, origin); err != nil {
					t.Errorf("action %d: %v", i, err)
				}
			}
		})
	}
}
