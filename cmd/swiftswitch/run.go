package main

import (
	"fmt"
	"os"
	"runtime/pprof"

	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/node"

	"github.com/spf13/cobra"
)

const runHelp = `Run a node as its settings file says. The argument names the role. control and
front follow from the settings: a node with a disk keeps state, one that serves
front takes clients. cache makes a node with a disk cache objects instead of
keeping state.

SIGHUP reads the settings again; SIGTERM drains the node and ends it within GraceS.`

// runCommand is the run command's flags and options.
type runCommand struct {
	settingsPath  string
	dataDirectory string
	cpuProfile    string
	debug         bool
	options       host.Options
}

func newRunCommand() *cobra.Command {
	run := &runCommand{options: host.DefaultOptions()}
	command := &cobra.Command{
		Use:   "run [ROLE]",
		Short: "Run a node until SIGTERM",
		Long:  runHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE:  run.execute,
	}
	flags := command.Flags()
	run.addProcessFlags(flags)
	addCacheFlags(flags, &run.options)
	addShardFlags(flags, &run.options)
	addRequestFlags(flags, &run.options)
	addZoneFlags(flags, &run.options)
	addRolloutFlags(flags, &run.options.Rollout)
	addChartFlags(flags, &run.options.Rollout)
	return command
}

func (r *runCommand) execute(command *cobra.Command, args []string) error {
	if len(args) > 0 {
		role, deprecated, err := host.ParseRole(args[0])
		if err != nil {
			return &exitError{exitUsage, err}
		}
		if deprecated {
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "Role %s has been deprecated, use %s\n", args[0], role)
		}
		r.options.Role = role
	}
	events.SetDebug(r.debug)
	if err := r.options.Check(); err != nil {
		return &exitError{exitUsage, err}
	}
	stopProfile, err := startProfile(r.cpuProfile)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	defer stopProfile()
	if code := node.Run(r.settingsPath, r.dataDirectory, r.options); code != node.ExitOK {
		return &exitError{Code: int(code)}
	}
	return nil
}

// startProfile writes a processor profile to a file until stop is called. An
// empty path is none.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close() // the process ends
	}, nil
}
