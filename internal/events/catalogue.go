package events

import (
	"fmt"
	"io"
)

// Level is how much attention an event deserves.
type Level string

// The levels. Events of LevelDebug are written only after SetDebug(true).
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Entry is the line of the catalogue on one kind of event.
type Entry struct {
	Event Event
	// Name is the event's constant in lower case, with hyphens.
	Name  string
	Level Level
	// Description says what happened and, where there is something to do, what
	// an operator does about it.
	Description string
}

// Catalogue lists every event in the order of the numbers. It is not changed
// at run time.
var Catalogue = []Entry{
	{Started, "started", LevelInfo, "The process is up; its node name, role and zone are named."},
	{SettingsInvalid, "settings-invalid", LevelError, "The settings can't be used and the process ends; correct the file and start it again."},
	{SettingsReloaded, "settings-reloaded", LevelInfo, "A changed settings file is in force."},
	{SettingsReloadRejected, "settings-reload-rejected", LevelWarn, "A changed settings file can't be used and the previous settings stay in force; correct the file."},
	{Draining, "draining", LevelInfo, "SIGTERM arrived, and the node hands over what it holds and ends within GraceS."},
	{Stopped, "stopped", LevelInfo, "The process ended in order."},
	{ListenFailed, "listen-failed", LevelError, "An address can't be listened on and is retried; free the port or correct the address."},
	{InvariantViolated, "invariant-violated", LevelError, "The process found itself in a state that must never occur, and ends; keep the log and report it."},
	{ProcessPaused, "process-paused", LevelInfo, "The process did not run for the time named, since it was frozen or got no processor time; for a moment it answers orders with 503, since they may have waited in its sockets."},
	{SettingsUnsupported, "settings-unsupported", LevelWarn, "The settings ask for what this program does not do: a part of the service rules, a duty, or a way of working; run a version that does it before relying on it."},
	{AcceptFailed, "accept-failed", LevelWarn, "A connection could not be accepted, mostly since no descriptor was left, and the node goes on trying while connections that rest are ended; if it recurs, raise the limit of descriptors or add fronts."},
	{ServerEnded, "server-ended", LevelError, "The server of an address ended, though the node did not close it, and nobody is served there any more; restart the node and report it."},
	{CallersAtLimit, "callers-at-limit", LevelWarn, "Callers take all connections or buffers that the settings leave for them, and those that do nothing or are slow are ended to make room; add fronts if they are ordinary callers."},

	{MessageRejected, "message-rejected", LevelWarn, "A malformed message from another node was rejected; if it recurs, compare the versions of the two nodes."},

	{ClusterBootstrapped, "cluster-bootstrapped", LevelInfo, "The cluster was started for the first time, with the seeds as its voters."},
	{ConfigChosen, "config-chosen", LevelInfo, "A quorum chose a configuration, whose version is named."},
	{VotersChosen, "voters-chosen", LevelInfo, "A quorum chose another set of voters, which is named."},
	{ProposalPreempted, "proposal-preempted", LevelInfo, "A proposer with a higher ballot was ahead, and this one backs off and retries."},
	{CaughtUp, "caught-up", LevelInfo, "The node fetched the state up to the slot named from another node."},
	{JoinRequested, "join-requested", LevelInfo, "A node without a vote asked a voter for one."},
	{IdentityCreated, "identity-created", LevelInfo, "The data directory was empty and the node has a new identity; wait for its voter-added before another node with a disk is stopped."},
	{ConfigRejected, "config-rejected", LevelInfo, "An operator's configuration was rejected for the reason named; correct it or send it again."},
	{DiskDegraded, "disk-degraded", LevelWarn, "The disk refused a write or took long, and the node votes on nothing that it can't make durable; look at the disk's free space and health."},
	{DiskRecovered, "disk-recovered", LevelInfo, "The disk takes writes again."},
	{HintsDelivered, "hints-delivered", LevelInfo, "State that another node had missed was delivered to it (hinted handoff)."},
	{ReadNoQuorum, "read-no-quorum", LevelInfo, "A read of the configuration reached no quorum in time and was answered with 503; see which voters are up."},
	{StoreQuarantined, "store-quarantined", LevelError, "The store on disk was unreadable and is kept as cellar-unreadable; a node that starts goes on as with an empty disk, and one that runs writes its store anew."},
	{DrainHandoff, "drain-handoff", LevelInfo, "A draining node counts the other nodes that have its state and its table on disk, those that stay, and tells whether it still votes; with done=false something was not handed over in time, so don't wipe its disk."},
	{FailureDetectorReset, "failure-detector-reset", LevelInfo, "The node did not run for a while, and its failure detector counts the silence of other nodes from now on."},
	{VoterAdded, "voter-added", LevelInfo, "A quorum gave a node a vote for the reason named; while kept is false, too few of the new voters have that on disk, so stop no other voter."},
	{SlotRecovered, "slot-recovered", LevelInfo, "The node had accepted a value whose proposer fell silent, and proposed it itself; done tells whether the slot is decided."},
	{ConfigUnsupported, "config-unsupported", LevelWarn, "The configuration in force has fields that this program does not read, or values that it does not act on, so what they ask for is not done; run a version that does it, or remove them."},

	{LeaseAcquired, "lease-acquired", LevelInfo, "A quorum granted this node the lease to poll the platform's list, under the epoch named."},
	{LeaseEnded, "lease-ended", LevelInfo, "This node no longer polls the platform's list, since it released the lease or the lease ran out without a quorum that renewed it."},
	{DiscoveryFailed, "discovery-failed", LevelWarn, "The platform's list could not be read and the last one stays in force; if it recurs, look at the platform's interface."},
	{EndpointsChanged, "endpoints-changed", LevelInfo, "Searchers were added to the endpoint table, removed from it or began to drain."},
	{StaleEpochRejected, "stale-epoch-rejected", LevelInfo, "An endpoint table from a lower epoch was rejected."},
	{LeaseCandidacySuspended, "lease-candidacy-suspended", LevelWarn, "This node hears no quorum of the voters, or bid for the lease in vain, and leaves it to other nodes for a while; if it recurs, look at this node's links."},
	{UnreachableReported, "unreachable-reported", LevelInfo, "Several fronts got no response from searchers, and all fronts that watch this node are to prefer others for a while; if those searchers are well, look for a failing zone or link."},
	{DiscoveryDiscarded, "discovery-discarded", LevelInfo, "A list from the platform was discarded, since the lease did not last until it was read."},
	{TableSyncFailed, "table-sync-failed", LevelInfo, "The newest endpoint table could not be fetched from a voter that granted the lease, and the fetch is retried before the platform's list is read."},

	{LayoutPending, "layout-pending", LevelInfo, "A version with another shard layout is pending, and its searchers are being readied."},
	{LayoutSwitched, "layout-switched", LevelInfo, "The shard layout in force changed; with ready=false some shard had too few ready searchers."},
	{SlotFreed, "slot-freed", LevelInfo, "A searcher lost its slot in a shard, and a standby may take it."},

	{FrontReady, "front-ready", LevelInfo, "The node reports itself ready for clients."},
	{FrontNotReady, "front-not-ready", LevelInfo, "The node reports itself not ready for clients."},
	{EndpointEjected, "endpoint-ejected", LevelInfo, "A searcher failed several times in a row and is ejected for a while; look at the searcher."},
	{EndpointRestored, "endpoint-restored", LevelInfo, "An ejected searcher answered and takes requests again."},
	{RequestRejected, "request-rejected", LevelDebug, "A client's malformed or oversize request was rejected."},
	{ResponseMalformed, "response-malformed", LevelDebug, "A searcher's response was malformed or too large, and its connection was closed."},
	{UnsolicitedResponse, "unsolicited-response", LevelWarn, "A searcher sent bytes that belong to no request, so its connections are closed and for a while each carries one request only; see its own log, and stop it if it goes on."},

	{PurgesChosen, "purges-chosen", LevelInfo, "A quorum chose purges; the number of the last one is named."},
	{PurgeNoQuorum, "purge-no-quorum", LevelWarn, "No quorum agreed on a purge in time; send it again."},
	{CacheNodeRegistered, "cache-node-registered", LevelInfo, "This node was registered as a cache node, which caches objects for the fronts and may fetch them."},
	{CacheNodesRemoved, "cache-nodes-removed", LevelWarn, "Cache nodes that had been silent were removed from the list and the others take over their part; look at these machines."},

	{RolloutAccepted, "rollout-accepted", LevelInfo, "A quorum chose an order to move a service to another version of its searchers."},
	{RolloutPhaseChanged, "rollout-phase-changed", LevelInfo, "A quorum chose the next phase of a rollout for the reason named; completed and rolled_back are final."},
	{RolloutRejected, "rollout-rejected", LevelInfo, "An order of a rollout was rejected for the reason named; correct it or send it again."},
	{CUSUMAlarm, "cusum-alarm", LevelWarn, "The control charts speak against a new version and most of its searchers bear it out, so it is rolled back; look at the metric and the route named."},
	{CUSUMAlarmDismissed, "cusum-alarm-dismissed", LevelInfo, "A control chart signalled, but one searcher alone does worse or the new version does better, so the chart starts again from zero."},
	{CanaryHalted, "canary-halted", LevelWarn, "What this front measured itself speaks against a new version, and it sends it nothing more, whatever other nodes see; if it is the only one, look at its links."},
	{RolloutOrderStale, "rollout-order-stale", LevelInfo, "A copy of an earlier order arrived after another order for its service; it is acknowledged again and starts nothing."},
	{RolloutOrdersRetired, "rollout-orders-retired", LevelInfo, "A quorum chose that no copy of the orders up to a slot can be under way any more, so that an equal order is a new one."},
}

// entries is the catalogue by number.
var entries = func() map[Event]Entry {
	byNumber := make(map[Event]Entry, len(Catalogue))
	for _, entry := range Catalogue {
		byNumber[entry.Event] = entry
	}
	return byNumber
}()

// String returns the number as log lines have it: E4001.
func (e Event) String() string { return fmt.Sprintf("E%d", int(e)) }

const markdownHead = `# Events

Printed by ` + "`swiftswitch events --markdown`" + `.

| number | name | level | meaning |
|---|---|---|---|
`

// WriteMarkdown writes entries as docs/events.md has the whole catalogue.
func WriteMarkdown(w io.Writer, entries []Entry) error {
	if _, err := io.WriteString(w, markdownHead); err != nil {
		return err
	}
	for _, entry := range entries {
		_, err := fmt.Fprintf(w, "| %v | %s | %s | %s |\n", entry.Event, entry.Name, entry.Level, entry.Description)
		if err != nil {
			return err
		}
	}
	return nil
}
