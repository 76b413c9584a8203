package lodge

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
)

// tune fits the runtime to the machine.
func tune(s *config.Settings) {
	runtime.GOMAXPROCS(1)
	if mb := s.Limits.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.6 * (1 << 20)))
	}
	debug.SetGCPercent(150)
}

// signals waits for the end, and for changed settings on the way.
func (n *Node) signals() {
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	seen := fileTime(n.path)
	for {
		select {
		case s := <-sig:
			if s == syscall.SIGHUP {
				seen = fileTime(n.path)
				n.reload()
				continue
			}
			n.drain()
			return
		case <-time.After(n.heartbeat(1)):
			if t := fileTime(n.path); !t.Equal(seen) {
				seen = t
				n.reload()
			}
		}
	}
}

// reload takes a changed settings file, or keeps the old settings.
func (n *Node) reload() {
	s, err := config.LoadSettings(n.path)
	old := n.set()
	switch {
	case err != nil:
		events.Log(events.SettingsReloadRejected, "err", err)
		return
	case s.IpAddress != old.IpAddress || s.InternalPort() != old.InternalPort() || s.HasDisk() != old.HasDisk():
		events.Log(events.SettingsReloadRejected, "err", "IpAddress, InternalPortRange and DataDirectory can't change while the node runs")
		return
	}
	s.DataDirectory = old.DataDirectory
	n.settings.Store(s)
	events.Log(events.SettingsReloaded)
}

// drain leaves in order, inside GraceS.
func (n *Node) drain() {
	start := time.Now()
	grace := config.Seconds(n.set().Bounds.GraceS, 1)
	events.Log(events.Draining, "grace", grace)
	n.leaving.Store(true)
	if n.trail != nil {
		n.trail.leave(start, grace)
	}
	if n.hut != nil {
		n.hut.leave(start, grace)
	}
	close(n.stop)
	for _, ln := range n.sockets {
		_ = ln.Close()
	}
}
