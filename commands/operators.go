package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/http1"
	"github.com/catkinspindle/catkinspindle/manifest"
	"github.com/catkinspindle/catkinspindle/operators"
	"github.com/catkinspindle/catkinspindle/wire"
)

// operatorFlags are the flags shared by the commands that use the operators' listener of a
// node.
type operatorFlags struct {
	url    string
	output string
}

func (f *operatorFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "operators", "http://127.0.0.1:7001", "operators' URL of a node")
	cmd.Flags().StringVar(&f.output, "output", "text", "output format: text or json")
}

const (
	operatorTimeout = 40 * time.Second
	// Size limits of what nodes send, in bytes.
	maxOperatorHeaderBytes  = 64 << 10
	maxOperatorFailureBytes = 64 << 10
	maxOperatorAnswerBytes  = 16 << 20
)

// newOperatorClient returns an HTTP client for one request.
func newOperatorClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		DialContext:            http1.Dial((&net.Dialer{}).DialContext),
		MaxResponseHeaderBytes: maxOperatorHeaderBytes,
		DisableKeepAlives:      true,
	}}
}

// roundTrip sends a request to the node and decodes the JSON response into v.
func (f *operatorFlags) roundTrip(ctx context.Context, method, path string, body []byte, v any) error {
	if f.output != "text" && f.output != "json" {
		return inputError{fmt.Errorf("--output %q: want text or json", f.output)}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewReader(body))
	if err != nil {
		return inputError{err}
	}
	resp, err := newOperatorClient().Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var report catkinspindle.FailureReport
		if err := json.NewDecoder(wire.Limit(resp.Body, maxOperatorFailureBytes)).Decode(&report); err != nil {
			return fmt.Errorf("%s: %s", f.url, resp.Status)
		}
		return report.Failure()
	}
	return json.NewDecoder(wire.Limit(resp.Body, maxOperatorAnswerBytes)).Decode(v)
}

// writeOutput writes v as JSON if --output is json, and calls writeText otherwise.
func (f *operatorFlags) writeOutput(w io.Writer, v any, writeText func() error) error {
	if f.output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return writeText()
}

func servicesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "services",
		Short: "Check, apply or show the fleet configuration",
	}
	cmd.AddCommand(servicesCheckCommand(), servicesApplyCommand(), servicesShowCommand())
	return cmd
}

func servicesCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file without contacting a node",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readConfig(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), args[0]+": good")
			return err
		},
	}
}

func readConfig(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError{err}
	}
	if _, err := manifest.Parse(file, data); err != nil {
		return nil, inputError{err}
	}
	return data, nil
}

func servicesApplyCommand() *cobra.Command {
	var f operatorFlags
	var base int64
	var editID string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a configuration if it is an edit of the current version",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readConfig(args[0])
			if err != nil {
				return err
			}
			if editID == "" {
				editID = strconv.FormatInt(time.Now().UnixNano(), 36)
			}
			var response operators.ConfigResponse
			path := fmt.Sprintf("/text?base=%d&edit=%s", base, url.QueryEscape(editID))
			if err := f.roundTrip(cmd.Context(), http.MethodPut, path, data, &response); err != nil {
				return fmt.Errorf("edit %s: %w", editID, err)
			}
			return f.writeOutput(cmd.OutOrStdout(), response, func() error {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "version %d accepted\n", response.Version)
				return err
			})
		},
	}
	f.register(cmd)
	cmd.Flags().Int64Var(&base, "base", 0, "version that was edited, as printed by services show; 0 for the first configuration")
	cmd.Flags().StringVar(&editID, "edit", "", "id of the edit; use the same id to retry after an unknown outcome")
	return cmd
}

func servicesShowCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the current configuration and the version that each VM has",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var current struct {
				operators.ConfigResponse
				VMs []operators.MemberConfigVersion `json:"vms"`
			}
			if err := f.roundTrip(cmd.Context(), http.MethodGet, "/text", nil, &current.ConfigResponse); err != nil {
				return err
			}
			if err := f.roundTrip(cmd.Context(), http.MethodGet, "/versions", nil, &current.VMs); err != nil {
				return err
			}
			return f.writeOutput(cmd.OutOrStdout(), current, func() error {
				return writeConfig(cmd.OutOrStdout(), current.ConfigResponse, current.VMs)
			})
		},
	}
	f.register(cmd)
	return cmd
}

func writeConfig(w io.Writer, current operators.ConfigResponse, vms []operators.MemberConfigVersion) error {
	_, _ = fmt.Fprintf(w, "# version %d\n%s\n", current.Version, current.Text)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "# VM\tDATA CENTRE\tVERSION\tLEAVING")
	for _, vm := range vms {
		_, _ = fmt.Fprintf(table, "# %s\t%s\t%d\t%v\n", vm.VM, vm.DataCentre, vm.Version, vm.Leaving)
	}
	return table.Flush()
}

func dumpCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "dump",
		Short: "Print the state of a node",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var state json.RawMessage
			if err := f.roundTrip(cmd.Context(), http.MethodGet, "/dump", nil, &state); err != nil {
				return err
			}
			return f.writeOutput(cmd.OutOrStdout(), state, func() error {
				text, err := yaml.JSONToYAML(state)
				if err != nil {
					return err
				}
				_, err = cmd.OutOrStdout().Write(text)
				return err
			})
		},
	}
	f.register(cmd)
	return cmd
}
