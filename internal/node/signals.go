package node

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
)

// maxPendingSignals is how many signals may wait to be handled.
const maxPendingSignals = 4

// catchReloads takes SIGHUP from the start of the process on: one that came
// before handleSignals would end it.
func catchReloads() (signals chan os.Signal) {
	signals = make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGHUP)
	// A write to a closed connection raises it.
	signal.Ignore(syscall.SIGPIPE)
	return signals
}

// handleSignals drains the node on SIGTERM or SIGINT, and returns then. Before
// that it reloads the settings on SIGHUP and whenever the file has changed,
// which it looks for every heartbeat interval.
func (n *Node) handleSignals(signals chan os.Signal) {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	loadedAt := modificationTime(n.settingsPath)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				n.Drain()
				return
			}
			loadedAt = modificationTime(n.settingsPath)
			n.Reload()
		case <-time.After(n.Heartbeats(1)):
			if modified := modificationTime(n.settingsPath); !modified.Equal(loadedAt) {
				loadedAt = modified
				n.Reload()
			}
		}
	}
}

// modificationTime returns the zero time for a file that can't be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload puts a changed settings file in force. Settings that are invalid, or
// that change what can't change while the node runs, are logged and rejected.
func (n *Node) Reload() {
	settings, err := config.LoadSettings(n.settingsPath)
	if err != nil {
		events.Log(events.SettingsReloadRejected, "err", err)
		return
	}
	old := n.Settings()
	if settings.IpAddress != old.IpAddress || settings.InternalPort() != old.InternalPort() || settings.HasDisk() != old.HasDisk() {
		events.Log(events.SettingsReloadRejected, "err", "IpAddress, InternalPortRange and DataDirectory can't change while the node runs")
		return
	}
	settings.DataDirectory = old.DataDirectory
	n.SetSettings(settings)
	events.Log(events.SettingsReloaded)
	n.logUnsupported()
}
