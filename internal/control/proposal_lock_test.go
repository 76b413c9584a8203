package control

import (
	"testing"
	"time"
)

func TestProposalLockOrder(t *testing.T) {
	var u proposalLock
	u.Lock()
	got := make(chan string, 3)
	wait := func(what string, n int) {
		for {
			if u.Waiting() == n {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	go func() { u.Lock(); got <- "order"; u.Unlock() }()
	wait("order", 1)
	go func() { u.LockUrgent(time.Minute); got <- "join"; u.Unlock() }()
	wait("join", 2)
	if u.TryLock() || u.LockUrgent(time.Millisecond) {
		t.Fatal("two have the turn")
	}
	u.YieldToUrgent()
	if a, b := <-got, <-got; a != "join" || b != "order" {
		t.Fatal(a, b)
	}
	u.Unlock()
	if !u.TryLock() {
		t.Fatal("nobody has the turn, and it is not free")
	}
}
