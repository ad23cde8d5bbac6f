package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
)

// callerFlags are the flags shared by the commands that send requests as a caller.
type callerFlags struct {
	urls    []string
	key     string
	timeout time.Duration
}

func (f *callerFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.urls, "node", []string{"http://127.0.0.1:8001"}, "callers' URLs of one or more nodes")
	cmd.Flags().StringVar(&f.key, "key", os.Getenv("CATKINSPINDLE_KEY"), "API key of the workspace; CATKINSPINDLE_KEY by default")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "time to wait for the answer")
}

func (f *callerFlags) client() *entries.Client { return entries.New(f.key, f.urls...) }

func addressesCommand() *cobra.Command {
	var f callerFlags
	cmd := &cobra.Command{
		Use:   "addresses",
		Short: "Print the addresses of the nodes that a caller may use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			urls, origin, err := f.client().Addresses(cmd.Context())
			if err != nil {
				return err
			}
			for _, url := range urls {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), url)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "origin", origin)
			return err
		},
	}
	f.register(cmd)
	return cmd
}

func askCommand() *cobra.Command {
	var f callerFlags
	var model, adapter, file string
	var maxTokens int
	var direct bool
	cmd := &cobra.Command{
		Use:   "ask [PROMPT]",
		Short: "Send a prompt and print the answer",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			prompt, err := readPrompt(args, file, cmd.InOrStdin())
			if err != nil {
				return inputError{err}
			}
			req := catkinspindle.Request{
				Model:     model,
				Adapter:   adapter,
				Prompt:    prompt,
				MaxTokens: maxTokens,
				Deadline:  time.Now().Add(f.timeout),
			}
			send := f.client().Complete
			if direct {
				send = func(ctx context.Context, r catkinspindle.Request) (entries.Answer, error) {
					return f.client().CompleteAt(ctx, f.urls[0], r)
				}
			}
			answer, err := send(cmd.Context(), req)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), answer.Text)
			return err
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&model, "model", "storyteller", "model")
	cmd.Flags().StringVar(&adapter, "adapter", "", "adapter of the model")
	cmd.Flags().StringVar(&file, "file", "", "file with the prompt; - reads standard input")
	cmd.Flags().IntVar(&maxTokens, "max-tokens", 64, "maximum length of the answer in tokens")
	cmd.Flags().BoolVar(&direct, "here", false, "send to the first --node without requesting addresses")
	return cmd
}

func readPrompt(args []string, file string, stdin io.Reader) (string, error) {
	switch {
	case len(args) == 1 && file == "":
		return args[0], nil
	case file == "-":
		data, err := io.ReadAll(stdin)
		return string(data), err
	case file != "":
		data, err := os.ReadFile(file)
		return string(data), err
	}
	return "", fmt.Errorf("no prompt: want it as the argument or in --file")
}

func callCommand() *cobra.Command {
	var f callerFlags
	var key, origin string
	cmd := &cobra.Command{
		Use:   "call SERVICE METHOD [BODY]",
		Short: "Call a method of a plain service",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			call := catkinspindle.PlainCall{
				Service:  args[0],
				Method:   args[1],
				Key:      key,
				Deadline: time.Now().Add(f.timeout),
			}
			if len(args) == 3 {
				call.Body = []byte(args[2])
			}
			reply, err := f.client().Call(cmd.Context(), call, origin)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(reply.Body))
			return err
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&key, "idempotency-key", "", "idempotency key, with which a retry is safe")
	cmd.Flags().StringVar(&origin, "origin", "", "origin from the address answer under which the key was first used")
	return cmd
}
