// Package commandloop provides single-goroutine ownership of tables: commands
// are queued to a Loop and run one after the other on its goroutine, so that
// the data they touch needs no lock.
package commandloop

// queueLength is how many commands may wait before Submit blocks.
const queueLength = 256

// Loop runs commands one at a time, in the order of their submission.
type Loop struct {
	queue chan func()
	// stop is closed by Close, and ended once no command runs any more.
	stop  chan struct{}
	ended chan struct{}
}

// New starts a loop; its goroutine ends with Close.
func New() *Loop {
	l := &Loop{queue: make(chan func(), queueLength), stop: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

func (l *Loop) run() {
	defer close(l.ended)
	for {
		select {
		case command := <-l.queue:
			command()
		case <-l.stop:
			return
		}
	}
}

// Submit queues a command and returns. After Close the command may be dropped.
func (l *Loop) Submit(command func()) {
	select {
	case l.queue <- command:
	case <-l.stop:
	}
}

// Call queues a command and waits until it has run, or until the loop has ended
// without it. It must not be called from a command of the same loop: it would
// wait for itself.
func (l *Loop) Call(command func()) {
	done := make(chan struct{})
	l.Submit(func() {
		command()
		close(done)
	})
	select {
	case <-done:
	case <-l.ended:
	}
}

// Close ends the loop after the command that runs. Those that wait are dropped.
func (l *Loop) Close() { close(l.stop) }
