package commands

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle/demo"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/machine"
	"github.com/catkinspindle/catkinspindle/node"
	"github.com/catkinspindle/catkinspindle/settings"
)

func nodeCommand() *cobra.Command {
	var file, level string
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run a node until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger(cmd.ErrOrStderr(), level)
			if err != nil {
				return err
			}
			cfg, err := settings.Load(file)
			if err != nil {
				return inputError{err}
			}
			machine.LimitRuntime(machine.Memory())
			n, err := node.New(cfg, log)
			if err != nil {
				return inputError{err}
			}
			if err := n.Start(cmd.Context()); err != nil {
				return err
			}
			<-cmd.Context().Done()
			// Every request ends by its deadline, at most MaxTimeout after it arrived, and
			// callers may use an address answer for AddressLifetime, so the drain is bounded.
			stopTimeout := cfg.Limits.MaxTimeout + 2*cfg.Timing.AddressLifetime
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return n.Stop(ctx)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "settings.yaml", "file with the settings")
	cmd.Flags().StringVar(&level, "log-level", "info", "log level: debug, info, warn or error")
	return cmd
}

func checkSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check the settings of a node",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return inputError{err}
			}
			cmd.Println(args[0] + ": good")
			return nil
		},
	}
}

const demoTimeout = 55 * time.Second

func demoCommand() *cobra.Command {
	var level string
	var onPlatform bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet in one process, send it requests and print the results",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger(cmd.ErrOrStderr(), level)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			if onPlatform {
				return demo.RunSite(ctx, cmd.OutOrStdout(), log)
			}
			return demo.Run(ctx, cmd.OutOrStdout(), log)
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "error", "log level: debug, info, warn or error")
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "run a site of the users' platform instead")
	return cmd
}

func keysCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "keys NAME...",
		Short: "Create node certificates, and the certificate authority if there is none",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			authority, err := keys.OpenOrCreateAuthority(dir)
			if err != nil {
				return err
			}
			for _, name := range args {
				if err := authority.Issue(name); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "directory for the files")
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "catkinspindle", version)
			return err
		},
	}
}
