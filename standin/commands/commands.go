// Package commands implements the command line of the stand-ins.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
	"github.com/catkinspindle/catkinspindle/standin/plain"
	"github.com/catkinspindle/catkinspindle/standin/platform"
	"github.com/catkinspindle/catkinspindle/standin/weights"
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of the platform, model engines, the weight store and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), weightsCommand(), plainCommand(), replicaCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

const shutdownTimeout = time.Second

// serve serves h on address until the process receives SIGTERM or SIGINT.
func serve(cmd *cobra.Command, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	cmd.Println("listening on", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	group := &errgroup.Group{}
	group.Go(func() error {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return errors.Join(server.Shutdown(ctx), server.Close())
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	_ = group.Wait()
	return nil
}

func platformCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API: versions, conditional updates, watches and a delayed list of VMs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, platform.New(lag).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:6000", "address to listen on")
	cmd.Flags().DurationVar(&lag, "lag", time.Second, "delay before changes show in the list of VMs")
	return cmd
}

func engineCommand() *cobra.Command {
	cfg := engine.DefaultConfig("engine")
	var listen, weightsURL string
	var ignoreFencing bool
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine with continuous batching and a memory limit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if weightsURL != "" {
				cfg.Weights = weights.NewRemoteFetch(weightsURL)
			}
			if ignoreFencing {
				cfg.Fencing = catkinspindle.FencingIgnored
			}
			return serve(cmd, listen, engine.New(cfg).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:6100", "address to listen on")
	cmd.Flags().StringVar(&cfg.Name, "name", cfg.Name, "name of the VM")
	cmd.Flags().IntVar(&cfg.CapacityTokens, "capacity", cfg.CapacityTokens, "memory for streams, in tokens")
	cmd.Flags().IntVar(&cfg.PrefillRate, "prefill-rate", cfg.PrefillRate, "prefill rate, in tokens per second")
	cmd.Flags().DurationVar(&cfg.LoadTime, "load-time", cfg.LoadTime, "time to load a model")
	cmd.Flags().StringVar(&weightsURL, "weights", "", "URL of the weight store")
	cmd.Flags().BoolVar(&ignoreFencing, "ignore-fencing", false, "execute orders with a stale fencing token")
	return cmd
}

func weightsCommand() *cobra.Command {
	var listen string
	var perSecond float64
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Serve a rate-limited weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, weights.New(perSecond, 1).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:6200", "address to listen on")
	cmd.Flags().Float64Var(&perSecond, "rate", 4, "fetches per second")
	return cmd
}

func plainCommand() *cobra.Command {
	var listen, name string
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "Serve a plain service that records each execution",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, plain.New(name).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:6300", "address to listen on")
	cmd.Flags().StringVar(&name, "name", "plain", "name of the VM")
	return cmd
}
