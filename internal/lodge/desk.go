package lodge

// desk is the owner of some tables: commands wait in its queue and run one
// after the other on its goroutine.
type desk struct {
	queue chan func()
	stop  chan struct{}
}

func newDesk() *desk {
	d := &desk{queue: make(chan func(), 256), stop: make(chan struct{})}
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

// post queues a command.
func (d *desk) post(f func()) {
	select {
	case d.queue <- f:
	case <-d.stop:
	}
}

// ask queues a command and waits for its end.
func (d *desk) ask(f func()) {
	done := make(chan struct{})
	d.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-d.stop:
	}
}

func (d *desk) close() { close(d.stop) }
