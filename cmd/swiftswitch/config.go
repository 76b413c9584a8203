package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"

	"github.com/spf13/cobra"
)

func newConfigCommand() *cobra.Command {
	client := &nodeClient{}
	command := &cobra.Command{Use: "config", Short: "Read or change the configuration"}
	client.addFlags(command.PersistentFlags())
	command.AddCommand(
		newConfigGetCommand(client),
		newConfigChangeCommand(client, configChange{
			use: "put FILE", short: "Put a whole configuration in force", method: "PUT",
			check: func(raw []byte) error {
				_, err := config.ParseConfiguration(raw)
				return err
			},
		}),
		newConfigChangeCommand(client, configChange{
			use: "patch FILE", short: "Change named items of the configuration", method: "PATCH",
			check: func(raw []byte) error {
				_, err := config.ParsePatch(raw)
				return err
			},
		}),
	)
	return command
}

func newConfigGetCommand(client *nodeClient) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the newest configuration",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := client.call("GET", nodeapi.PathConfiguration, nil, nil)
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(answer.Body)
			return err
		},
	}
}

// warnOfUnsupported says on standard error what an acknowledged change asks for
// and the answering node does not do.
func warnOfUnsupported(answer []byte) error {
	var acknowledgement nodeapi.ConfigurationAcknowledgement
	if err := json.Unmarshal(answer, &acknowledgement); err != nil {
		return fmt.Errorf("the acknowledgement can't be read: %w", err)
	}
	if len(acknowledgement.Unsupported) > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "warning: in force, but the node does not do what these ask for: %s\n", strings.Join(acknowledgement.Unsupported, ", "))
	}
	return nil
}

// configChange is a way to change the configuration.
type configChange struct {
	use, short string
	method     string
	// check reports what is wrong with a file before it is sent.
	check func(raw []byte) error
}

func newConfigChangeCommand(client *nodeClient, change configChange) *cobra.Command {
	var baseVersion int64
	command := &cobra.Command{
		Use:   change.use,
		Short: change.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, err := readFile(args[0])
			if err != nil {
				return &exitError{exitInvalid, err}
			}
			if err := change.check(raw); err != nil {
				return &exitError{exitInvalid, fmt.Errorf("%s: %w", args[0], err)}
			}
			header := map[string]string{"If-Match": strconv.FormatInt(baseVersion, 10)}
			answer, err := client.call(change.method, nodeapi.PathConfiguration, header, raw)
			if err != nil {
				return err
			}
			fmt.Println("acknowledged")
			return warnOfUnsupported(answer.Body)
		},
	}
	command.Flags().Int64Var(&baseVersion, "if-match", 0, "the version that this one builds on (0: the first)")
	return command
}
