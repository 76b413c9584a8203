package transport

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// hangupSweepInterval is how often the sockets of watched callers are looked
// at. A caller's leaving is noticed after twice as long at the latest, and a
// relayed request passes two listeners.
const hangupSweepInterval = 150 * time.Millisecond

// hangupEvents are the events of poll(2) for a peer that closed, reset or shut
// down its side. POLLERR and POLLHUP need not be asked for.
const hangupEvents = unix.POLLRDHUP

// hangupWatcher looks for callers that have left while their requests are
// handled and nothing reads from their connections. One poll(2) looks at all of
// them, and reads nothing: requests that a client pipelined stay where they
// are. A request that ends before the sweep after the next costs no look.
//
// The zero value is ready for use. While no caller is watched it has no timer.
type hangupWatcher struct {
	// mu guards the fields below and Caller.fd.
	mu sync.Mutex
	// watched holds the number of the last sweep before each caller's Watch.
	watched map[*Caller]uint64
	sweeps  uint64
	// timer runs sweep; sweeping is whether it is started.
	timer    *time.Timer
	sweeping bool
	// sockets is scratch space of poll, due of sweep.
	sockets []unix.PollFd
	due     []*Caller
}

func (w *hangupWatcher) add(c *Caller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watched == nil {
		w.watched = map[*Caller]uint64{}
	}
	w.watched[c] = w.sweeps
	if !w.sweeping {
		w.startTimer()
	}
}

func (w *hangupWatcher) remove(c *Caller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, c)
}

// forget ends all looks at a caller's socket, which may be closed then.
func (w *hangupWatcher) forget(c *Caller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, c)
	c.fd = -1
}

// look looks at one caller's socket, and cancels its context if it has left.
func (w *hangupWatcher) look(c *Caller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.fd < 0 {
		return
	}
	state := peekSocket(int(c.fd))
	if state == socketReadable {
		// The end of the stream may follow behind what the caller pipelined.
		w.poll(c)
	}
	if state == socketEnded {
		c.cancel()
	}
}

// sweep looks at the sockets of all callers that were watched at the last
// sweep already.
func (w *hangupWatcher) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweeping = false
	due := w.due[:0]
	for c, watchedAt := range w.watched {
		if watchedAt < w.sweeps {
			due = append(due, c)
		}
	}
	w.sweeps++
	w.due = due
	w.poll(due...)
	if len(w.watched) > 0 {
		w.startTimer()
	}
}

// poll looks at the sockets of some callers, and cancels the contexts of those
// that have left. The caller holds w.mu.
func (w *hangupWatcher) poll(callers ...*Caller) {
	if len(callers) == 0 {
		return
	}
	w.sockets = w.sockets[:0]
	for _, c := range callers {
		w.sockets = append(w.sockets, unix.PollFd{Fd: c.fd, Events: hangupEvents})
	}
	n, err := unix.Poll(w.sockets, 0)
	if err != nil || n == 0 {
		return
	}
	for i, c := range callers {
		if hungUp(&w.sockets[i]) {
			c.cancel()
			delete(w.watched, c)
		}
	}
}

// startTimer has the next sweep follow. The caller holds w.mu.
func (w *hangupWatcher) startTimer() {
	w.sweeping = true
	if w.timer == nil {
		w.timer = time.AfterFunc(hangupSweepInterval, w.sweep)
		return
	}
	w.timer.Reset(hangupSweepInterval)
}

// hungUp reports whether a polled socket showed one of them.
func hungUp(fd *unix.PollFd) bool {
	return fd.Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
