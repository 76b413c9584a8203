package main

import (
	"fmt"
	"os"
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
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	os.Exit(code)
}
