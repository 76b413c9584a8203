package main

import (
	"bytes"
	"encoding/json"
	"fmt"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"

	"github.com/spf13/cobra"
)

func newRolloutCommand() *cobra.Command {
	client := &nodeClient{}
	command := &cobra.Command{
		Use:   "rollout",
		Short: "Move a service to another version of its endpoints, or see how far that is",
	}
	client.addFlags(command.PersistentFlags())
	command.AddCommand(
		newRolloutStartCommand(client),
		&cobra.Command{
			Use:   "status SERVICE",
			Short: "Show a service's last rollout",
			Args:  cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				return showRollouts(client, nodeapi.PathRollouts+"/"+args[0])
			},
		},
		&cobra.Command{
			Use:   "list",
			Short: "Show the last rollout of each service",
			Args:  cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				return showRollouts(client, nodeapi.PathRollouts)
			},
		},
	)
	return command
}

func newRolloutStartCommand(client *nodeClient) *cobra.Command {
	var seconds float64
	command := &cobra.Command{
		Use:   "start SERVICE VERSION",
		Short: "Start a rollout",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, err := json.Marshal(config.RolloutRequest{Service: args[0], TargetVersion: args[1], DurationS: seconds})
			if err != nil {
				return &exitError{exitInvalid, err}
			}
			if _, err := config.ParseRolloutRequest(raw); err != nil {
				return &exitError{exitInvalid, err}
			}
			if _, err := client.call("POST", nodeapi.PathRollouts, nil, raw); err != nil {
				return err
			}
			fmt.Println("acknowledged")
			return nil
		},
	}
	command.Flags().Float64Var(&seconds, "seconds", 0, "duration in seconds, by the end of which the rollout is completed or rolled back")
	_ = command.MarkFlagRequired("seconds") // it exists
	return command
}

// showRollouts prints the answer to a GET of the path, indented.
func showRollouts(client *nodeClient, path string) error {
	answer, err := client.call("GET", path, nil, nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, answer.Body, "", "  "); err != nil {
		return &exitError{exitRemote, err}
	}
	fmt.Println(out.String())
	return nil
}
