package main

import (
	"fmt"
	"strconv"

	"swiftswitch/internal/events"

	"github.com/spf13/cobra"
)

const eventsPageHead = "# Events\n\nPrinted by `swiftswitch events --markdown`.\n\n| number | name | level | meaning |\n|---|---|---|---|\n"

func newEventsCommand() *cobra.Command {
	var markdown bool
	command := &cobra.Command{
		Use:   "events [NUMBER]",
		Short: "Explain the numbered events of the log",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			number := ""
			if len(args) > 0 {
				number = args[0]
			}
			return printEvents(number, markdown)
		},
	}
	command.Flags().BoolVar(&markdown, "markdown", false, "print the catalogue as docs/events.md has it")
	return command
}

// printEvents prints the event of a number, with or without the leading E, or
// the whole catalogue where number is empty.
func printEvents(number string, markdown bool) error {
	format := "E%d %-18s %-5s %s\n"
	if markdown {
		fmt.Print(eventsPageHead)
		format = "| E%d | %s | %s | %s |\n"
	}
	found := false
	for _, e := range events.Catalogue {
		decimal := strconv.Itoa(int(e.Event))
		if number != "" && number != decimal && number != "E"+decimal {
			continue
		}
		found = true
		fmt.Printf(format, e.Event, e.Name, e.Level, e.Description)
	}
	if !found {
		return &exitError{exitUsage, fmt.Errorf("there is no event %s", number)}
	}
	return nil
}
