// Command regress compares the worth of benchmark days with the baseline in the repository.
// scripts/regress performs the runs and calls it.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle/regression"
)

var errCheckFailed = errors.New("regression check failed")

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var journalDir, baseline string
	var updateBaseline bool
	c := &cobra.Command{
		Use:          "regress ENTRY...",
		Short:        "Compare the worth of days in journal entries with the baseline",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, ids []string) error {
			r, err := loadReport(journalDir, baseline, ids)
			if err != nil {
				return err
			}
			if err := r.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			if problems := r.Problems(); len(problems) > 0 {
				return fmt.Errorf("%w:\n%s", errCheckFailed, strings.Join(problems, "\n"))
			}
			if !updateBaseline {
				return nil
			}
			return writeBaseline(r, baseline)
		},
	}
	c.Flags().StringVar(&journalDir, "journal", "journal", "directory of the benchmark journal")
	c.Flags().StringVar(&baseline, "kept", "docs/regression.tsv", "file with the baseline worth of each day")
	c.Flags().BoolVar(&updateBaseline, "keep", false, "write the worth of the scored days to the baseline if no check fails")
	return c
}

func loadReport(journalDir, baseline string, ids []string) (*regression.Report, error) {
	text, err := os.ReadFile(baseline)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	r, err := regression.New(strings.NewReader(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", baseline, err)
	}
	for _, id := range ids {
		if err := r.Add(journalDir, id); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func writeBaseline(r *regression.Report, file string) error {
	var text strings.Builder
	if err := r.WriteBaseline(&text); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text.String()), 0o644)
}
