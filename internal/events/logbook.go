package events

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// Event is the number of a kind of event.
type Event int

// The events, by part.
const (
	Started                Event = 1001
	SettingsInvalid        Event = 1002
	SettingsReloaded       Event = 1003
	SettingsReloadRejected Event = 1004
	Draining               Event = 1005
	Stopped                Event = 1006
	ListenFailed           Event = 1007
	InvariantViolated      Event = 1008
	ProcessPaused          Event = 1009

	MessageRejected Event = 2001

	ClusterBootstrapped  Event = 3001
	ConfigChosen         Event = 3002
	VotersChosen         Event = 3003
	ProposalPreempted    Event = 3004
	CaughtUp             Event = 3005
	JoinRequested        Event = 3006
	IdentityCreated      Event = 3007
	ConfigRejected       Event = 3008
	DiskDegraded         Event = 3009
	DiskRecovered        Event = 3010
	HintsDelivered       Event = 3011
	ReadNoQuorum         Event = 3012
	StoreQuarantined     Event = 3013
	DrainHandoff         Event = 3020
	FailureDetectorReset Event = 3021
	VoterAdded           Event = 3022
	SlotRecovered        Event = 3023

	LeaseAcquired           Event = 4001
	LeaseEnded              Event = 4002
	DiscoveryFailed         Event = 4003
	EndpointsChanged        Event = 4004
	StaleEpochRejected      Event = 4005
	LeaseCandidacySuspended Event = 4006
	UnreachableReported     Event = 4007
	DiscoveryDiscarded      Event = 4008
	TableSyncFailed         Event = 4009

	PurgesChosen        Event = 7001
	PurgeNoQuorum       Event = 7002
	CacheNodeRegistered Event = 7003
	CacheNodesRemoved   Event = 7004

	LayoutPending  Event = 5001
	LayoutSwitched Event = 5002
	SlotFreed      Event = 5003

	RolloutAccepted     Event = 8001
	RolloutPhaseChanged Event = 8002
	RolloutRejected     Event = 8003
	CUSUMAlarm          Event = 8004
	CUSUMAlarmDismissed Event = 8005
	CanaryHalted        Event = 8006
	RolloutOrderStale   Event = 8007

	FrontReady          Event = 6001
	FrontNotReady       Event = 6002
	EndpointEjected     Event = 6003
	EndpointRestored    Event = 6004
	RequestRejected     Event = 6005
	ResponseMalformed   Event = 6006
	UnsolicitedResponse Event = 6007
)

// Entry is a line of the catalogue.
type Entry struct {
	Event       Event
	Name        string
	Level       string
	Description string
}

// Catalogue lists every event with what it means and what to do.
var Catalogue = []Entry{
	{Started, "started", "info", "The process is up; role, zone and ports are named."},
	{SettingsInvalid, "settings-bad", "error", "The settings can't be used; the process ends. Mend the file."},
	{SettingsReloaded, "settings-reloaded", "info", "A changed settings file was taken."},
	{SettingsReloadRejected, "settings-kept", "warn", "A changed settings file can't be used; the old settings stay in force. Mend the file."},
	{Draining, "draining", "info", "SIGTERM came; the node leaves in order within GraceS."},
	{Stopped, "stopped", "info", "The process ends in order."},
	{ListenFailed, "listen-failed", "error", "An address can't be listened on."},
	{InvariantViolated, "invariant-broken", "error", "Something that can't be was seen; the process ends."},
	{ProcessPaused, "stood-still", "info", "The node stood still for the time named: it was frozen, or got no processor time. For a moment it refuses orders with 503, since they may have waited in its sockets."},
	{MessageRejected, "message-refused", "warn", "A malformed message from a node was refused."},
	{ClusterBootstrapped, "genesis-voters", "info", "First start: the seeds are the voters."},
	{ConfigChosen, "config-chosen", "info", "A majority chose a configuration."},
	{VotersChosen, "voters-chosen", "info", "A majority chose another set of voters."},
	{ProposalPreempted, "proposal-lost", "info", "Another proposer was ahead; this one backs off."},
	{CaughtUp, "caught-up", "info", "The node took the state up to a slot from another."},
	{JoinRequested, "join-asked", "info", "A node without a vote asks for one."},
	{IdentityCreated, "identity-new", "info", "The disk was empty: the node has a new identity."},
	{ConfigRejected, "config-refused", "info", "The operator's configuration was refused; the reason is named."},
	{DiskDegraded, "disk-trouble", "warn", "A write was refused or takes long. The node votes on nothing it can't keep."},
	{DiskRecovered, "disk-back", "info", "Writes go through again."},
	{HintsDelivered, "handed-over", "info", "What a node had missed was handed to it."},
	{ReadNoQuorum, "read-unsettled", "info", "A read of the configuration found no majority."},
	{StoreQuarantined, "disk-unreadable", "error", "The store on disk is damaged; it is set aside and the node starts as with an empty disk."},
	{DrainHandoff, "handed-off", "info", "A node that leaves in order: how many others have its state and its table on disk, of how many that stay, and whether it still votes. done=false: something was not handed over in time."},
	{FailureDetectorReset, "woke-up", "info", "The node did not run for a while; the silence of others counts from now on."},
	{VoterAdded, "place-given", "info", "A node without a vote has one now, on the word of a majority; why is named, and whether a majority of the new voters has it on disk."},
	{SlotRecovered, "finished", "info", "The node had accepted a value and heard no more of it: it had the slot decided, if done."},
	{LeaseAcquired, "duty-taken", "info", "A majority of the voters granted this node the duty: it now polls the platform's list, under the epoch named."},
	{LeaseEnded, "duty-left", "info", "This node no longer polls: it gave the duty back, or its lease ran out without a majority that renewed it."},
	{DiscoveryFailed, "list-failed", "warn", "The platform's list could not be read; the last one stays."},
	{EndpointsChanged, "list-changed", "info", "Searchers came, went or drain."},
	{StaleEpochRejected, "table-old", "info", "A table from a lower epoch was refused."},
	{LeaseCandidacySuspended, "duty-unfit", "warn", "This node hears no majority of the voters, or bid for the duty in vain; it leaves the duty to others for a while."},
	{DiscoveryDiscarded, "list-late", "info", "A list was thrown away: the lease did not last until it was read."},
	{TableSyncFailed, "table-missed", "info", "The newest table could not be brought from a voter that granted the duty; it is tried again before the list is read."},
	{UnreachableReported, "hearsay-told", "info", "Several fronts get no answer from searchers; all that watch this hut are told to ask others first for a while."},
	{LayoutPending, "cut-next", "info", "A version with another cut is next; its searchers are being readied."},
	{LayoutSwitched, "cut-switched", "info", "The cut in force changed; ready says whether all slots were ready."},
	{SlotFreed, "slot-freed", "info", "A searcher lost its slot; a standby may take it."},
	{FrontReady, "front-ready", "info", "The node calls itself ready for clients."},
	{FrontNotReady, "front-unready", "info", "The node calls itself not ready."},
	{EndpointEjected, "searcher-out", "info", "A searcher failed several times in a row and is left out for a while."},
	{EndpointRestored, "searcher-back", "info", "A searcher left out answers again."},
	{PurgesChosen, "purges-chosen", "info", "A majority chose purges; the number of the last is named."},
	{PurgeNoQuorum, "purge-unsettled", "warn", "No majority agreed on a purge in time; the operator sends it again."},
	{CacheNodeRegistered, "larder-listed", "info", "This node is one of those that keep copies and may fetch."},
	{CacheNodesRemoved, "larder-struck", "warn", "Nodes that kept copies have been silent and are off the list; the others take their part."},
	{RolloutAccepted, "rollout-ordered", "info", "A majority chose an order to move a service to another version of its searchers."},
	{RolloutPhaseChanged, "rollout-phase", "info", "A majority chose the next phase of a rollout; why is named. completed and rolled_back are final."},
	{RolloutRejected, "rollout-refused", "info", "An order of a rollout was refused; the reason is named."},
	{CUSUMAlarm, "chart-signal", "warn", "The charts speak against a new version, and most of its searchers bear it out; it is rolled back."},
	{CUSUMAlarmDismissed, "chart-false", "info", "A chart signalled, but not against the version: one searcher does worse, or the new version does better. The chart starts again from zero."},
	{CanaryHalted, "canary-halted", "warn", "What this node saw itself speaks against a new version; it sends it nothing more, whatever the others see."},
	{RolloutOrderStale, "order-late", "info", "A copy of an earlier order arrived after another order for its service; it is acknowledged again and starts nothing."},
	{RequestRejected, "request-refused", "debug", "A malformed or oversize request was refused."},
	{ResponseMalformed, "answer-broken", "debug", "A searcher's bytes formed no answer, or too many; its connection was ended."},
	{UnsolicitedResponse, "searcher-garbles", "warn", "A searcher sent bytes that belong to no request; its connections end, and for a while each carries one request only. See its own log."},
}

var (
	mu    sync.Mutex
	out   io.Writer = os.Stderr
	byNum           = func() map[Event]Entry {
		m := make(map[Event]Entry, len(Catalogue))
		for _, e := range Catalogue {
			m[e.Event] = e
		}
		return m
	}()
	debug bool
	born  = time.Now()
)

// SetDebug turns events of level debug on or off.
func SetDebug(on bool) { mu.Lock(); debug = on; mu.Unlock() }

// SetOutput sends the lines elsewhere.
func SetOutput(w io.Writer) { mu.Lock(); out = w; mu.Unlock() }

// Log writes one event with pairs of keys and values.
func Log(e Event, pairs ...any) {
	en := byNum[e]
	mu.Lock()
	defer mu.Unlock()
	if en.Level == "debug" && !debug {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "t=%.3f E%d %s %s", time.Since(born).Seconds(), int(e), en.Level, en.Name)
	for i := 0; i+1 < len(pairs); i += 2 {
		v := fmt.Sprint(pairs[i+1])
		if v == "" || strings.ContainsAny(v, " \n\t\"") {
			v = fmt.Sprintf("%q", v)
		}
		fmt.Fprintf(&b, " %v=%s", pairs[i], v)
	}
	b.WriteByte('\n')
	_, _ = io.WriteString(out, b.String())
}
