package node

import (
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that ends a node which has not opened its disk yet.
func TestReloadSignalBeforeTheStart(t *testing.T) {
	signals := catchReloads()
	defer signal.Stop(signals)
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case received := <-signals:
		if received != syscall.SIGHUP {
			t.Errorf("received %v", received)
		}
	case <-time.After(2 * time.Second):
		t.Error("it is not received")
	}
}
