package main

import (
	"fmt"
	"strings"

	"swiftswitch/internal/config"

	"github.com/spf13/cobra"
)

func newCheckCommand() *cobra.Command {
	command := &cobra.Command{Use: "check", Short: "Check a settings file or a configuration"}
	command.AddCommand(
		&cobra.Command{
			Use:   "settings [FILE]",
			Short: "Check a settings file",
			Args:  cobra.MaximumNArgs(1),
			RunE:  checkSettings,
		},
		&cobra.Command{
			Use:   "configuration FILE",
			Short: "Check a configuration ('-' reads standard input)",
			Args:  cobra.ExactArgs(1),
			RunE:  checkConfiguration,
		},
	)
	return command
}

func checkSettings(_ *cobra.Command, args []string) error {
	settings, err := config.LoadSettings(settingsPathOf(args))
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	if unsupported := settings.Unsupported(); len(unsupported) > 0 {
		return &exitError{exitInvalid, errUnsupported(unsupported)}
	}
	fmt.Printf("settings of %s are good\n", settings.NodeName)
	return nil
}

func checkConfiguration(_ *cobra.Command, args []string) error {
	raw, err := readFile(args[0])
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	configuration, err := config.ParseConfiguration(raw)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	if unsupported := config.Unsupported(raw); len(unsupported) > 0 {
		return &exitError{exitInvalid, errUnsupported(unsupported)}
	}
	fmt.Printf("configuration %d is good: %d routes, %d services\n", configuration.Version, len(configuration.Routes), len(configuration.Services))
	return nil
}

// errUnsupported names what a file asks for and this version doesn't do.
func errUnsupported(paths []string) error {
	return fmt.Errorf("this version does not do what these ask for: %s", strings.Join(paths, ", "))
}

// settingsPathOf returns the first argument, or the path of the settings that
// the environment names.
func settingsPathOf(args []string) string {
	if len(args) > 0 {
		return args[0]
	}
	return config.SettingsPath()
}
