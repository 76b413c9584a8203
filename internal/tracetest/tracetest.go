// Package tracetest plays recorded traces against state machines in tests.
//
// A trace is a file testdata/NAME.trace. Each line is one step: words separated
// by spaces, the first of which names an input of the machine, or an
// observation; the others are its arguments and what is expected. '#' begins a
// comment that ends with the line; empty lines are skipped. The first line is a
// comment that says which behavior the trace pins down:
//
//	# what is not idempotent is sent again only if it surely has not run
//	query 1 3 unsafe 1 0.3
//	sent 0
//	result 0 unprocessed retry   # the endpoint did not run it
//	sent 0
//	result 0 unknown wait
//	decide early failed
//
// The words are the test's own; each test documents its steps in the function
// that plays them. A step returns an error if its expectation is not met.
package tracetest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Machine carries out one step, given as its words, against a state machine.
type Machine = func(step []string) error

// Play plays every trace in testdata, each as a subtest against a new machine.
// There must be at least minTraces, so that none is lost unnoticed.
func Play(t *testing.T, minTraces int, newMachine func() Machine) {
	t.Helper()
	PlayDir(t, "testdata", minTraces, newMachine)
}

// PlayDir is Play for the traces of a directory.
func PlayDir(t *testing.T, dir string, minTraces int, newMachine func() Machine) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.trace"))
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < minTraces {
		t.Fatalf("only %d traces in %s, want at least %d", len(files), dir, minTraces)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			trace, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := run(string(trace), newMachine()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// run plays a trace and returns the error of the first step that fails, with its line.
func run(trace string, machine Machine) error {
	for i, line := range strings.Split(trace, "\n") {
		step, _, _ := strings.Cut(line, "#")
		words := strings.Fields(step)
		if len(words) == 0 {
			continue
		}
		if err := machine(words); err != nil {
			return fmt.Errorf("line %d (%s): %w", i+1, strings.TrimSpace(step), err)
		}
	}
	return nil
}
