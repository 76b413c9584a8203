package main

import (
	"fmt"
	"time"

	"swiftswitch/internal/node"

	"github.com/spf13/cobra"
)

func newStatusCommand() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "status ADDRESS",
		Short: "Show a node's state (address: host:port between nodes)",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			status, err := node.FetchStatus(args[0], timeout)
			if err != nil {
				return &exitError{exitRemote, fmt.Errorf("%s can't be reached: %w", args[0], err)}
			}
			fmt.Println(string(status))
			return nil
		},
	}
	addTimeoutFlag(command.Flags(), &timeout, defaultStatusTimeout)
	return command
}
