// Package diary plays recorded traces against state machines in tests: a
// file of steps, one a line, with comments after '#'.
package tracetest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Play reads every testdata/*.trace, of which there must be at least few, and
// gives its steps, split at spaces, to a machine that fresh makes anew.
func Play(t *testing.T, few int, fresh func() func(step []string) error) {
	t.Helper()
	PlayIn(t, "testdata", few, fresh)
}

// PlayIn is Play for the traces of a directory.
func PlayIn(t *testing.T, dir string, few int, fresh func() func(step []string) error) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.trace"))
	if len(files) < few {
		t.Fatalf("only %d traces", len(files))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			step := fresh()
			for i, line := range strings.Split(string(raw), "\n") {
				line, _, _ = strings.Cut(line, "#")
				f := strings.Fields(line)
				if len(f) == 0 {
					continue
				}
				if err := step(f); err != nil {
					t.Fatalf("line %d (%s): %v", i+1, strings.TrimSpace(line), err)
				}
			}
		})
	}
}
