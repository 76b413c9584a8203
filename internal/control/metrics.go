package control

import "swiftswitch/internal/metrics"

// Gauges returns the node's figures as a control node, for its metrics.
func (s *Server) Gauges() []metrics.Gauge {
	status := s.Status()
	gauges := []metrics.Gauge{
		{Name: "control_configuration_version", Help: "Version of the newest configuration that this node knows.", Value: float64(status.Version)},
		{Name: "control_configuration_age_seconds", Help: "How long ago this node learned that version.", Value: float64(status.VersionAgeMs) / 1000},
		{Name: "control_unsupported", Help: "Things that this configuration asks for and the program does not do.", Value: float64(len(status.Unsupported))},
		{Name: "control_slot", Help: "Last decided slot that this node knows.", Value: float64(status.Slot)},
		{Name: "control_durable_slot", Help: "Last decided slot on this node's disk.", Value: float64(status.DurableSlot)},
		{Name: "control_behind_slots", Help: "Slots that other control nodes know beyond this one's.", Value: float64(status.BehindBy)},
		{Name: "control_voters", Help: "Voters of the cluster.", Value: float64(len(status.Voters))},
		{Name: "control_majority_age_seconds", Help: "How long ago a majority of the voters was heard; below 0 where it never was since the start.", Value: float64(status.MajorityAgeMs) / 1000},
		{Name: "control_lease_epoch", Help: "Epoch of the newest lease to poll the platform's list.", Value: float64(status.LeaseEpoch)},
		{Name: "control_endpoints", Help: "Endpoints in the table.", Value: float64(status.Endpoints)},
		{Name: "control_watchers", Help: "Fronts and cache nodes that watch this node.", Value: float64(len(status.FrontSlots))},
		{Name: "control_purge_sequence", Help: "Number of the last purge.", Value: float64(status.PurgeSeq)},
		{Name: "control_applied_changes", Help: "Changes that were ever applied.", Value: float64(status.AppliedChanges)},
		{Name: "control_rollouts", Help: "Services with an order of a rollout.", Value: float64(len(status.Rollouts))},
	}
	flags := []struct {
		name, help string
		value      bool
	}{
		{"control_is_voter", "Whether this node votes.", status.IsVoter},
		{"control_isolated", "Whether this node hears no majority.", status.Isolated},
		{"control_holds_lease", "Whether this node holds the lease to poll the platform's list.", status.HoldsLease},
	}
	for _, flag := range flags {
		value := 0.0
		if flag.value {
			value = 1
		}
		gauges = append(gauges, metrics.Gauge{Name: flag.name, Help: flag.help, Value: value})
	}
	return gauges
}
