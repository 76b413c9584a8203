package node

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

// tuneRuntime fits the runtime to the machine.
func tuneRuntime(s *config.Settings) {
	runtime.GOMAXPROCS(1)
	if mb := s.Limits.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.6 * (1 << 20)))
	}
	debug.SetGCPercent(150)
}

// handleSignals waits for the end, and for changed settings on the way.
func (n *Node) handleSignals() {
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	seen := modificationTime(n.settingsPath)
	for {
		select {
		case s := <-sig:
			if s == syscall.SIGHUP {
				seen = modificationTime(n.settingsPath)
				n.Reload()
				continue
			}
			n.Drain()
			return
		case <-time.After(n.Heartbeats(1)):
			if t := modificationTime(n.settingsPath); !t.Equal(seen) {
				seen = t
				n.Reload()
			}
		}
	}
}

// Reload takes a changed settings file, or keeps the old settings.
func (n *Node) Reload() {
	s, err := config.LoadSettings(n.settingsPath)
	old := n.Settings()
	switch {
	case err != nil:
		events.Log(events.SettingsReloadRejected, "err", err)
		return
	case s.IpAddress != old.IpAddress || s.InternalPort() != old.InternalPort() || s.HasDisk() != old.HasDisk():
		events.Log(events.SettingsReloadRejected, "err", "IpAddress, InternalPortRange and DataDirectory can't change while the node runs")
		return
	}
	s.DataDirectory = old.DataDirectory
	n.SetSettings(s)
	events.Log(events.SettingsReloaded)
}

// Drain leaves in order, inside GraceS.
func (n *Node) Drain() {
	start := time.Now()
	grace := config.Seconds(n.Settings().Bounds.GraceS, 1)
	events.Log(events.Draining, "grace", grace)
	n.Draining.Store(true)
	if n.front != nil {
		n.front.Drain(start, grace)
	}
	if n.control != nil {
		n.control.Drain(start, grace)
	}
	close(n.Stopping)
	for _, ln := range n.listeners {
		ln.Close()
	}
}
