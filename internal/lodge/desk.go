package lodge

// Loop is the owner of some tables: commands wait in its queue and run one
// after the other on its goroutine.
type Loop struct {
	queue chan func()
	stop  chan struct{}
}

func NewLoop() *Loop {
	d := &Loop{queue: make(chan func(), 256), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case f := <-d.queue:
				f()
			case <-d.stop:
				return
			}
		}
	}()
	return d
}

// Submit queues a command.
func (d *Loop) Submit(f func()) {
	select {
	case d.queue <- f:
	case <-d.stop:
	}
}

// Call queues a command and waits for its end.
func (d *Loop) Call(f func()) {
	done := make(chan struct{})
	d.Submit(func() { f(); close(done) })
	select {
	case <-done:
	case <-d.stop:
	}
}

func (d *Loop) Close() { close(d.stop) }
