// Command regress compares plays of the bench with the worth that the repository keeps.
// scripts/regress plays them.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle/regression"
)

var errRegressed = errors.New("the plays fail")

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var journal, kept string
	var keep bool
	c := &cobra.Command{
		Use:          "regress ENTRY...",
		Short:        "Compare journal entries with the kept worth",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, ids []string) error {
			r, err := load(journal, kept, ids)
			if err != nil {
				return err
			}
			if err := r.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if problems := r.Problems(); len(problems) > 0 {
				return fmt.Errorf("%w:\n%s", errRegressed, strings.Join(problems, "\n"))
			}
			if !keep {
				return nil
			}
			return write(r, kept)
		},
	}
	c.Flags().StringVar(&journal, "journal", "journal", "folder of the bench's journal")
	c.Flags().StringVar(&kept, "kept", "docs/regression.tsv", "file of the kept worth")
	c.Flags().BoolVar(&keep, "keep", false, "keep the worth of these plays when none fails")
	return c
}

func load(journal, kept string, ids []string) (*regression.Report, error) {
	text, err := os.ReadFile(kept)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	r, err := regression.New(strings.NewReader(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kept, err)
	}
	for _, id := range ids {
		if err := r.Add(journal, id); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func write(r *regression.Report, file string) error {
	var text strings.Builder
	if err := r.Keep(&text); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text.String()), 0o644)
}
