package tracetest

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
)

var errStep = errors.New("not met")

func TestRun(t *testing.T) {
	const trace = "# a counter\n\nadd 2  # comments are dropped\n  add   3\nis 5\nis 6\nadd 1\n"
	var steps []string
	err := run(trace, func(step []string) error {
		steps = append(steps, fmt.Sprint(step))
		if step[0] == "is" && step[1] == "6" {
			return errStep
		}
		return nil
	})
	if !errors.Is(err, errStep) || err.Error() != "line 6 (is 6): not met" {
		t.Fatalf("error %v", err)
	}
	if got, want := fmt.Sprint(steps), "[[add 2] [add 3] [is 5] [is 6]]"; got != want {
		t.Fatalf("steps %s, want %s", got, want)
	}
}

// A test writes a Machine for its state and documents the steps there. This
// one is for a counter.
func Example() {
	newMachine := func() Machine {
		total := 0
		return func(step []string) error {
			n, err := strconv.Atoi(step[1])
			if err != nil {
				return err
			}
			switch step[0] {
			case "add": // add N
				total += n
			case "is": // is N
				if total != n {
					return fmt.Errorf("total is %d", total)
				}
			default:
				return fmt.Errorf("unknown step %s", step[0])
			}
			return nil
		}
	}
	// In a test: tracetest.Play(t, 1, newMachine)
	fmt.Println(run("add 2\nadd 3\nis 5", newMachine()))
	fmt.Println(run("add 2  # too little\nis 5", newMachine()))
	// Output:
	// <nil>
	// line 2 (is 5): total is 2
}
