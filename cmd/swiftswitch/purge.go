package main

import (
	"encoding/json"
	"fmt"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"

	"github.com/spf13/cobra"
)

func newPurgeCommand() *cobra.Command {
	client := &nodeClient{}
	var hostName, path, tag string
	command := &cobra.Command{
		Use:   "purge",
		Short: "Remove an object, or all objects with a tag, from all caches",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			raw, err := purgeBody(hostName, path, tag)
			if err != nil {
				return &exitError{exitInvalid, err}
			}
			if _, err := client.call("POST", nodeapi.PathPurge, nil, raw); err != nil {
				return err
			}
			fmt.Println("acknowledged")
			return nil
		},
	}
	flags := command.Flags()
	client.addFlags(flags)
	flags.StringVar(&hostName, "host", "", "host name of the object")
	flags.StringVar(&path, "path", "", "path of the object")
	flags.StringVar(&tag, "tag", "", "tag of the objects")
	return command
}

// purgeBody returns a valid purge request of the fields that are set.
func purgeBody(hostName, path, tag string) ([]byte, error) {
	request := map[string]string{}
	for key, value := range map[string]string{"HostName": hostName, "Path": path, "Tag": tag} {
		if value != "" {
			request[key] = value
		}
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	_, err = config.ParsePurgeRequest(raw)
	return raw, err
}
