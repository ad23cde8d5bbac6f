// Package nodecommands implements the command line of catkinspindle-node, the program that
// runs on each entry VM of the users' platform.
package nodecommands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/gatewaynode"
	"github.com/catkinspindle/catkinspindle/logbook"
	"github.com/catkinspindle/catkinspindle/machine"
	"github.com/catkinspindle/catkinspindle/platform"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked for changes
	// that no SIGHUP announces.
	settingsPollInterval = 2 * time.Second

	exitFailed   = 1
	exitBadInput = 2
)

var errBadInput = errors.New("bad input")

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "catkinspindle-node",
		Short:         "Run a node of the serving layer in front of replicas",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Join(errBadInput, err) })
	root.AddCommand(runCommand(), checkSettingsCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "catkinspindle-node:", err) // There is no other output to report to.
	if errors.Is(err, errBadInput) {
		return exitBadInput
	}
	return exitFailed
}

func checkSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file of the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := platform.LoadSettings(args[0]); err != nil {
				return errors.Join(errBadInput, err)
			}
			cmd.Println(args[0] + ": good")
			return nil
		},
	}
}

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run",
		Short: "Run a node until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return run(cmd.OutOrStdout()) },
	}
}

func run(out io.Writer) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file, err := platform.SettingsFile()
	if err != nil {
		return errors.Join(errBadInput, err)
	}
	nodeSettings, err := platform.LoadSettings(file)
	if err != nil {
		return errors.Join(errBadInput, err)
	}
	machine.LimitRuntime(int64(nodeSettings.MemoryMB) << 20)
	logWriter := logbook.New(out)
	log := logWriter.Logger(slog.LevelInfo)
	logbook.SetDefault(log)
	ctx := context.Background()
	if err := logWriter.Start(ctx); err != nil {
		return err
	}
	node := gatewaynode.New(nodeSettings, log)
	if err := node.Start(ctx); err != nil {
		return errors.Join(err, logWriter.Stop(ctx))
	}
	waitForStop(node, file, log, stop, reload)
	return errors.Join(node.Stop(ctx), logWriter.Stop(ctx))
}

// waitForStop blocks until a signal arrives on stop. It reloads the settings on a signal on
// reload or when the modification time of the file has changed.
func waitForStop(n *gatewaynode.Node, file string, log *slog.Logger, stop, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-stop:
			return
		case <-reload:
		case <-ticker.C:
			if modTime(file).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		s, err := platform.LoadSettings(file)
		if err != nil {
			log.Error("settings not reloaded; the previous settings stay in force", events.NodeReloaded.Attr(), "error", err)
			continue
		}
		n.Reload(s)
		log.Info("settings reloaded", events.NodeReloaded.Attr(), "file", file)
	}
}

// modTime returns the modification time of file, or the zero time if it cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
