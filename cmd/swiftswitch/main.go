// Command swiftswitch runs a node of swiftswitch and helps to operate a cluster
// of them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of all commands. Those of a node that could not run are
// node.ExitCode.
const (
	exitUsage   = 1
	exitInvalid = 2
	exitRemote  = 4
)

// exitError ends the process with a code. Where Err is nil the cause has been
// logged already and nothing more is printed.
type exitError struct {
	Code int
	Err  error
}

func (e *exitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

func (e *exitError) Unwrap() error { return e.Err }

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(reportError(err))
	}
}

// reportError prints what went wrong and returns the exit code for it.
func reportError(err error) int {
	exit := &exitError{}
	if !errors.As(err, &exit) {
		// Not ours: cobra did not understand the command line.
		fmt.Fprintln(os.Stderr, "swiftswitch:", err)
		fmt.Fprintln(os.Stderr, "see 'swiftswitch help'")
		return exitUsage
	}
	if exit.Err != nil {
		fmt.Fprintln(os.Stderr, "swiftswitch:", exit.Err)
	}
	return exit.Code
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "swiftswitch",
		Short:         "A search front over sharded indexes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRunCommand(),
		newCheckCommand(),
		newConfigCommand(),
		newPurgeCommand(),
		newRolloutCommand(),
		newStatusCommand(),
		newEventsCommand(),
	)
	return root
}
