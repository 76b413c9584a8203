package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns the exit code of the script.
var cases = map[string]func(record string) (int, error){
	"keys-restart": caseKeysRestart,
	"keys-lone":    caseKeysLone,
	"rollout-back": caseRolloutBack,
	"rollout-cut":  caseRolloutCut,
	"ceiling":      caseCeiling,
	"burst":        caseBurst,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	go endInTime()
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if r := current.Load(); r != nil {
			r.note("the case couldn't run: %v", err)
		}
		code = exitNotRun
	}
	os.Exit(code)
}

// longest is how long a case may run.
const longest = 110 * time.Second

// endInTime ends a case that takes too long, or is told to end, with all that it
// started: it couldn't run.
func endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	if r := current.Load(); r != nil {
		r.note("the case is ended before its end")
		r.close()
	}
	os.Exit(exitNotRun)
}
