package commandloop

import (
	"testing"
	"time"
)

func TestCommandsRunInOrder(t *testing.T) {
	l := New()
	var got []int
	for i := range 100 {
		l.Submit(func() { got = append(got, i) })
	}
	l.Call(func() {})
	for i, x := range got {
		if i != x {
			t.Fatalf("command %d ran at position %d", x, i)
		}
	}
	if len(got) != 100 {
		t.Fatalf("%d of 100 commands ran before Call returned", len(got))
	}
}

func TestCallReturnsAfterClose(t *testing.T) {
	l := New()
	l.Close()
	l.Call(func() {}) // must not block
	l.Submit(func() {})
}

// Guards against a caller that goes on while its command still runs, and reads
// what the command writes.
func TestCallWaitsForItsCommandBesideClose(t *testing.T) {
	l := New()
	started, written := make(chan bool), false
	go func() {
		<-started
		l.Close()
	}()
	l.Call(func() {
		close(started)
		time.Sleep(20 * time.Millisecond)
		written = true
	})
	if !written {
		t.Error("the call returned before its command had run")
	}
}
