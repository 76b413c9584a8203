package events

// Event is the number of a kind of event. Numbers are never changed or reused:
// operators search for them.
type Event int

// The process.
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
	SettingsUnsupported    Event = 1010
	AcceptFailed           Event = 1011
	ServerEnded            Event = 1012
	CallersAtLimit         Event = 1013
)

// Calls between nodes.
const (
	MessageRejected Event = 2001
)

// Consensus, membership and storage.
const (
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
	ConfigUnsupported    Event = 3024
)

// The lease to poll the platform's list, and the endpoint table made from it.
const (
	LeaseAcquired           Event = 4001
	LeaseEnded              Event = 4002
	DiscoveryFailed         Event = 4003
	EndpointsChanged        Event = 4004
	StaleEpochRejected      Event = 4005
	LeaseCandidacySuspended Event = 4006
	UnreachableReported     Event = 4007
	DiscoveryDiscarded      Event = 4008
	TableSyncFailed         Event = 4009
)

// Shard layouts.
const (
	LayoutPending  Event = 5001
	LayoutSwitched Event = 5002
	SlotFreed      Event = 5003
)

// Clients and endpoints.
const (
	FrontReady          Event = 6001
	FrontNotReady       Event = 6002
	EndpointEjected     Event = 6003
	EndpointRestored    Event = 6004
	RequestRejected     Event = 6005
	ResponseMalformed   Event = 6006
	UnsolicitedResponse Event = 6007
)

// The content cache.
const (
	PurgesChosen        Event = 7001
	PurgeNoQuorum       Event = 7002
	CacheNodeRegistered Event = 7003
	CacheNodesRemoved   Event = 7004
)

// Rollouts of versions of endpoints.
const (
	RolloutAccepted      Event = 8001
	RolloutPhaseChanged  Event = 8002
	RolloutRejected      Event = 8003
	CUSUMAlarm           Event = 8004
	CUSUMAlarmDismissed  Event = 8005
	CanaryHalted         Event = 8006
	RolloutOrderStale    Event = 8007
	RolloutOrdersRetired Event = 8008
)
