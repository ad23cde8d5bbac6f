package commands

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
)

func replicaCommand() *cobra.Command {
	var listen, name string
	var events, slots, queue int
	var pause, stall time.Duration
	cmd := &cobra.Command{
		Use:   "replica",
		Short: "Serve a replica of the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, replica.New(name, events, pause, replica.WithCapacity(slots, queue), replica.WithHelpers(stall)))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:6400", "address to listen on")
	cmd.Flags().StringVar(&name, "name", "replica", "id of the replica")
	cmd.Flags().IntVar(&events, "events", 33, "number of events of a stream")
	cmd.Flags().DurationVar(&pause, "pause", 60*time.Millisecond, "time before each event")
	cmd.Flags().IntVar(&slots, "slots", 16, "number of requests that run at a time")
	cmd.Flags().IntVar(&queue, "queue", 2, "number of requests that may wait")
	cmd.Flags().DurationVar(&stall, "stall", 1500*time.Millisecond, "time after which work that depends on a silent replica ends")
	return cmd
}
