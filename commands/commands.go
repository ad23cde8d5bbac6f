// Package commands implements the command line of catkinspindle.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

// inputError is an error in the user's input. The process exits with exitBadInput.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "catkinspindle:", err)
	var badInput inputError
	if errors.As(err, &badInput) {
		return exitBadInput
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "catkinspindle",
		Short:         "Serving layer for prompts whose lengths differ widely",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	root.AddCommand(
		nodeCommand(),
		demoCommand(),
		checkSettingsCommand(),
		addressesCommand(),
		askCommand(),
		callCommand(),
		servicesCommand(),
		dumpCommand(),
		loadCommand(),
		keysCommand(),
		versionCommand(),
	)
	return root
}

// logLevels are the values of the flag --log-level.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	l, ok := logLevels[level]
	if !ok {
		return nil, inputError{fmt.Errorf("--log-level %q: want debug, info, warn or error", level)}
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})), nil
}
