package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// problems collects the errors of a settings file, so that its writer sees all
// of them at once.
type problems []error

func (p *problems) addf(format string, args ...any) {
	*p = append(*p, fmt.Errorf(format, args...))
}

// validate returns all errors of the settings, joined.
func (s *Settings) validate() error {
	var found problems
	if s.NodeName == "" {
		found.addf("NodeName is missing")
	}
	if net.ParseIP(s.IpAddress) == nil {
		found.addf("IpAddress %q is no IP address", s.IpAddress)
	}
	if r := s.InternalPortRange; len(r) != 2 || r[0] <= 0 || r[1] > 65535 || r[1] < r[0] {
		found.addf("InternalPortRange %v is no range of ports", r)
	}
	if len(s.SeedNodes) == 0 {
		found.addf("SeedNodes is empty")
	}
	for _, address := range s.SeedNodes {
		if !isAddress(address) {
			found.addf("SeedNodes holds %q, which is no address with a port", address)
		}
	}
	s.validateListeners(&found)
	s.Bounds.validate(&found)
	if s.HeartbeatIntervalMs <= 0 {
		found.addf("HeartbeatIntervalMs must be above 0")
	}
	return errors.Join(found...)
}

// validateListeners makes sure that there is an address for everything that
// the role serves.
func (s *Settings) validateListeners(found *problems) {
	listen := s.ListenAddresses
	for _, served := range s.Serves {
		switch served {
		case "front":
			if !isAddress(listen.FrontAddress) || !isAddress(listen.ReadinessAddress) {
				found.addf("Serves names front, but ListenAddresses lacks FrontAddress or ReadinessAddress")
			}
		case "control":
			if !isAddress(listen.ControlAddress) {
				found.addf("Serves names control, but ListenAddresses lacks ControlAddress")
			}
		}
	}
}

// validate adds the errors of the bounds. Only those that every process needs
// must be set.
func (b *Bounds) validate(found *problems) {
	for _, required := range []struct {
		name  string
		value float64
	}{
		{"InTouchMs", b.InTouchMs},
		{"AcknowledgeMs", b.AcknowledgeMs},
		{"CatchUpS", b.CatchUpS},
		{"DrainMs", b.DrainMs},
		{"GraceS", b.GraceS},
		{"ConfigEffectMs", b.ConfigEffectMs},
		{"RetryWindowS", b.RetryWindowS},
	} {
		if required.value <= 0 {
			found.addf("Bounds.%s must be above 0", required.name)
		}
	}
	if b.RetryBudgetRatio < 0 || b.RetryBudgetSlack < 0 {
		found.addf("Bounds.RetryBudgetRatio and RetryBudgetSlack must not be negative")
	}
	if b.PurgeMs < 0 || b.StaleSlackS < 0 || b.CeilingWindowS < 0 || b.CeilingOvershoot != 0 && b.CeilingOvershoot < 1 {
		found.addf("Bounds.PurgeMs, StaleSlackS and CeilingWindowS must not be negative, nor CeilingOvershoot below 1")
	}
	if b.RevocationMs < 0 {
		found.addf("Bounds.RevocationMs must not be negative")
	}
	if b.ExposureShare < 0 || b.ExposureShare > 1 || b.ExposureSlack < 0 || b.RollbackMs < 0 {
		found.addf("Bounds.ExposureSlack and RollbackMs must not be negative, and ExposureShare must be from 0 to 1")
	}
}

// isAddress reports whether a is an IP with a port.
func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number <= 65535
}
