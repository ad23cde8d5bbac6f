package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/arrivals"
	"github.com/catkinspindle/catkinspindle/entries"
	"github.com/catkinspindle/catkinspindle/load"
)

func loadCommand() *cobra.Command {
	var f callerFlags
	mix := arrivals.DefaultMix()
	var seed uint64
	var model, service, method, output, plotFile string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Run an open-loop load test against a running fleet and report by prompt length",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if mix.Rate <= 0 || mix.Duration <= 0 || mix.SharedPrefixes < 1 || mix.Workspaces < 1 {
				return inputError{fmt.Errorf("--rate, --duration, --series and --workspaces must be positive")}
			}
			s := sender{client: f.client(), model: model, service: service, method: method, seed: seed}
			samples := load.Run(cmd.Context(), arrivals.Generate(mix, seed), s.send)
			report := load.NewReport(samples, mix.Duration)
			if plotFile != "" {
				if err := report.SaveClassPlot(plotFile, "time to first token by prompt length"); err != nil {
					return err
				}
			}
			if output == "json" {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(report)
			}
			return report.WriteTable(cmd.OutOrStdout())
		},
	}
	f.register(cmd)
	flags := cmd.Flags()
	flags.Float64Var(&mix.Rate, "rate", mix.Rate, "mean arrival rate in requests per second")
	flags.DurationVar(&mix.Duration, "duration", mix.Duration, "time over which requests arrive")
	flags.Float64Var(&mix.LongShare, "long-share", mix.LongShare, "share of prompts over 100,000 tokens")
	flags.Float64Var(&mix.SharedPrefixShare, "series-share", mix.SharedPrefixShare, "share of prompts that begin with a shared prefix")
	flags.IntVar(&mix.SharedPrefixes, "series", mix.SharedPrefixes, "number of shared prefixes")
	flags.Float64Var(&mix.ActionShare, "action-share", mix.ActionShare, "share of calls to a plain service")
	flags.IntVar(&mix.Workspaces, "workspaces", mix.Workspaces, "number of workspaces that the requests belong to")
	flags.Uint64Var(&seed, "seed", 1, "seed of the generated arrivals")
	flags.StringVar(&model, "model", "storyteller", "model that answers the prompts")
	flags.StringVar(&service, "service", "archive", "plain service to call")
	flags.StringVar(&method, "method", "bookmark", "method to call")
	flags.StringVar(&output, "output", "text", "output format: text or json")
	flags.StringVar(&plotFile, "plot", "", "file for a plot, PNG or SVG")
	return cmd
}

// sender sends generated requests to a running fleet.
type sender struct {
	client                 *entries.Client
	model, service, method string
	seed                   uint64
}

func (s sender) send(ctx context.Context, a arrivals.Arrival) load.Sample {
	sample := load.Sample{ID: a.ID, Tokens: a.PromptTokens, Action: a.Action}
	start := time.Now()
	deadline := start.Add(a.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if a.Action {
		sample.Err = s.callService(ctx, a, deadline)
		sample.Total = time.Since(start)
		sample.TimeToFirstToken = sample.Total
		return sample
	}
	answer, err := s.client.Complete(ctx, catkinspindle.Request{
		Model:     s.model,
		Prompt:    a.Prompt(),
		MaxTokens: a.MaxTokens,
		Deadline:  deadline,
	})
	sample.TimeToFirstToken, sample.Gaps, sample.Err = answer.FirstToken, answer.Gaps, err
	sample.Total = time.Since(start)
	return sample
}

func (s sender) callService(ctx context.Context, a arrivals.Arrival, deadline time.Time) error {
	_, origin, err := s.client.Addresses(ctx)
	if err != nil {
		return err
	}
	call := catkinspindle.PlainCall{
		Service:  s.service,
		Method:   s.method,
		Key:      fmt.Sprintf("load-%d-%d-%d", s.seed, time.Now().UnixNano(), a.ID),
		Body:     fmt.Appendf(nil, "load %d", a.ID),
		Deadline: deadline,
	}
	_, err = s.client.Call(ctx, call, origin)
	return err
}
