package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
)

// Parts of Bounds.AcknowledgeMs.
const (
	// slowCommitRatio is how long a commit to the disk may take before it is logged.
	slowCommitRatio = 0.1
	// diskRetryRatio passes before a failed store is opened, or written, again.
	diskRetryRatio = 0.04
	// openTimeoutRatio is how long a start tries to open the store and to write to it.
	openTimeoutRatio = 2
)

// openStore opens the node's store. A disk in trouble often comes back, and
// ending the process to start anew would be no better: so it tries again until
// the deadline, which counts from the end of the first attempt and bounds the
// first writes as well.
func openStore(settings *config.Settings) (store *storage.Store, deadline time.Time, err error) {
	slowThreshold := config.Milliseconds(settings.Bounds.AcknowledgeMs, slowCommitRatio)
	retryInterval := config.Milliseconds(settings.Bounds.AcknowledgeMs, diskRetryRatio)
	store, err = storage.Open(settings.DataDirectory, slowThreshold, retryInterval)
	deadline = time.Now().Add(config.Milliseconds(settings.Bounds.AcknowledgeMs, openTimeoutRatio))
	for err != nil && time.Now().Before(deadline) {
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(retryInterval)
		store, err = storage.Open(settings.DataDirectory, slowThreshold, retryInterval)
	}
	return store, deadline, err
}

// beginIncarnation raises the incarnation in stored, and draws an identity where
// the disk has none. It returns the records that must be durable before the node
// does anything else: otherwise two runs could use the same ballot, or a vote be
// given under an identity that the next run does not have any more.
func beginIncarnation(settings *config.Settings, store *storage.Store, stored *records.Stored) map[string][]byte {
	stored.Incarnation++
	initial := map[string][]byte{
		records.IncarnationRecord.Key(): records.IncarnationRecord.Encode(stored.Incarnation),
	}
	if stored.Identity != "" {
		return initial
	}
	if settings.FirstStart && !store.Quarantined() {
		ips := settings.SeedIPs()
		slices.Sort(ips)
		stored.Identity, stored.State = consensus.GenesisID(settings.IpAddress), consensus.Genesis(ips)
		events.Log(events.ClusterBootstrapped, "voters", strings.Join(ips, ","))
	} else {
		// A genesis identity may have made promises that were lost with a disk,
		// or with a store that was quarantined. So the node comes as another one.
		stored.Identity = "later-" + settings.IpAddress + "-" + host.RandomID()
		events.Log(events.IdentityCreated, "id", stored.Identity)
	}
	maps.Copy(initial, records.StateRecords(stored.State, -1, 0))
	initial[records.IdentityRecord.Key()] = records.IdentityRecord.Encode(stored.Identity)
	return initial
}

// writeInitialRecords waits until the records are on disk. A write that failed
// is tried again until the deadline.
func writeInitialRecords(put func(map[string][]byte, func(error)), initial map[string][]byte, deadline time.Time, retryInterval time.Duration) error {
	done := make(chan error, 1)
	for {
		put(initial, func(err error) { done <- err })
		err := <-done
		if err == nil || !time.Now().Before(deadline) {
			return err
		}
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(retryInterval)
	}
}
