package control

import (
	"testing"
	"time"
)

// An urgent waiter gets the lock before one that came earlier, and a holder can
// yield to it between two attempts.
func TestProposalLockOrder(t *testing.T) {
	var lock proposalLock
	lock.Lock()
	acquired := make(chan string, 3)
	awaitWaiters := func(count int) {
		for lock.Waiting() != count {
			time.Sleep(time.Millisecond)
		}
	}
	go func() {
		lock.Lock()
		acquired <- "normal"
		lock.Unlock()
	}()
	awaitWaiters(1)
	go func() {
		lock.LockUrgent(time.Minute)
		acquired <- "urgent"
		lock.Unlock()
	}()
	awaitWaiters(2)
	if lock.TryLock() || lock.LockUrgent(time.Millisecond) {
		t.Fatal("the lock was acquired while it was held")
	}
	lock.YieldToUrgent()
	if first, second := <-acquired, <-acquired; first != "urgent" || second != "normal" {
		t.Fatalf("the lock went to the %s waiter, then to the %s one", first, second)
	}
	lock.Unlock()
	if !lock.TryLock() {
		t.Fatal("the lock is not free after its last holder released it")
	}
}
