package config

import "fmt"

const (
	// maxRolloutSeconds is the longest duration of a rollout: 30 days.
	maxRolloutSeconds = 30 * 24 * 3600
	// maxVersionBytes is the greatest length of a software version's name.
	maxVersionBytes = 256
)

// RolloutRequest is an operator's order to move the requests for a service to
// endpoints of another software version, step by step.
type RolloutRequest struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"TargetVersion"`
	// DurationS is the time in seconds over which the steps are spread.
	DurationS float64 `json:"DurationS"`
}

// ParseRolloutRequest reads a rollout and validates what can be validated
// without the configuration in force.
func ParseRolloutRequest(raw []byte) (RolloutRequest, error) {
	// Pointers tell a key that is missing from one that is empty.
	var r struct {
		Service       *string  `json:"Service"`
		TargetVersion *string  `json:"TargetVersion"`
		DurationS     *float64 `json:"DurationS"`
	}
	if err := decodeSingle(raw, &r, "an order of a rollout", "the order"); err != nil {
		return RolloutRequest{}, err
	}
	switch {
	case r.Service == nil || *r.Service == "":
		return RolloutRequest{}, fieldError("Service", "is missing")
	case r.TargetVersion == nil || *r.TargetVersion == "" || len(*r.TargetVersion) > maxVersionBytes:
		return RolloutRequest{}, fmt.Errorf("TargetVersion must have from 1 to %d bytes", maxVersionBytes)
	case r.DurationS == nil || *r.DurationS <= 0 || *r.DurationS > maxRolloutSeconds:
		return RolloutRequest{}, fmt.Errorf("DurationS must be above 0 and at most %d", maxRolloutSeconds)
	}
	return RolloutRequest{Service: *r.Service, TargetVersion: *r.TargetVersion, DurationS: *r.DurationS}, nil
}
