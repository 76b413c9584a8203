package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"
)

// SettingsPathEnv names the variable that holds the settings file's path.
const SettingsPathEnv = "SWIFTSWITCH_SETTINGS"

// DefaultSettingsPath is used where the variable is not set.
const DefaultSettingsPath = "/etc/swiftswitch/boot.yaml"

// SettingsPath says which settings file this process reads.
func SettingsPath() string {
	if p := os.Getenv(SettingsPathEnv); p != "" {
		return p
	}
	return DefaultSettingsPath
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings %s can't be read: %w", path, err)
	}
	s, err := ParseSettings(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// ParseSettings reads settings from YAML. Unknown fields are ignored.
func ParseSettings(raw []byte) (*Settings, error) {
	js, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, fmt.Errorf("not YAML: %w", err)
	}
	s := &Settings{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(js, s); err != nil {
		return nil, fmt.Errorf("wrong shape: %w", err)
	}
	if s.Bounds == nil {
		s.Bounds = &Bounds{}
	}
	if s.Limits == nil {
		s.Limits = &MachineLimits{}
	}
	if s.ListenAddresses == nil {
		s.ListenAddresses = &Listen{}
	}
	if s.CloudApi == nil {
		s.CloudApi = &CloudApi{}
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	if s.NodeName == "" {
		bad("NodeName is missing")
	}
	if net.ParseIP(s.IpAddress) == nil {
		bad("IpAddress %q is no IP address", s.IpAddress)
	}
	if len(s.InternalPortRange) != 2 || s.InternalPortRange[0] <= 0 || s.InternalPortRange[1] > 65535 || s.InternalPortRange[1] < s.InternalPortRange[0] {
		bad("InternalPortRange %v is no range of ports", s.InternalPortRange)
	}
	if len(s.SeedNodes) == 0 {
		bad("SeedNodes is empty")
	}
	for _, a := range s.SeedNodes {
		if !isAddr(a) {
			bad("SeedNodes holds %q, which is no address with a port", a)
		}
	}
	for _, word := range s.Serves {
		switch word {
		case "front":
			if !isAddr(s.ListenAddresses.FrontAddress) || !isAddr(s.ListenAddresses.ReadinessAddress) {
				bad("Serves names front, but ListenAddresses lacks FrontAddress or ReadinessAddress")
			}
		case "control":
			if !isAddr(s.ListenAddresses.ControlAddress) {
				bad("Serves names control, but ListenAddresses lacks ControlAddress")
			}
		}
	}
	b := s.Bounds
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"InTouchMs", b.InTouchMs}, {"AcknowledgeMs", b.AcknowledgeMs}, {"CatchUpS", b.CatchUpS},
		{"DrainMs", b.DrainMs}, {"GraceS", b.GraceS}, {"ConfigEffectMs", b.ConfigEffectMs},
		{"RetryWindowS", b.RetryWindowS},
	} {
		if f.v <= 0 {
			bad("Bounds.%s must be above 0", f.name)
		}
	}
	if b.RetryBudgetRatio < 0 || b.RetryBudgetSlack < 0 {
		bad("Bounds.RetryBudgetRatio and RetryBudgetSlack must not be negative")
	}
	if b.PurgeMs < 0 || b.StaleSlackS < 0 || b.CeilingWindowS < 0 || b.CeilingOvershoot != 0 && b.CeilingOvershoot < 1 {
		bad("Bounds.PurgeMs, StaleSlackS and CeilingWindowS must not be negative, nor CeilingOvershoot below 1")
	}
	if b.ExposureShare < 0 || b.ExposureShare > 1 || b.ExposureSlack < 0 || b.RollbackMs < 0 {
		bad("Bounds.ExposureSlack and RollbackMs must not be negative, and ExposureShare must be from 0 to 1")
	}
	if s.HeartbeatIntervalMs <= 0 {
		bad("HeartbeatIntervalMs must be above 0")
	}
	return errors.Join(errs...)
}

func isAddr(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 65536
}

// HasDisk tells whether this process may keep state.
func (s *Settings) HasDisk() bool { return s.DataDirectory != "" }

// InternalPort is the port for traffic between nodes, the same on all machines.
func (s *Settings) InternalPort() string { return strconv.Itoa(int(s.InternalPortRange[0])) }

// InternalAddress is where a node with that IP takes calls from other nodes.
func (s *Settings) InternalAddress(ip string) string { return net.JoinHostPort(ip, s.InternalPort()) }

// SeedIPs lists the IPs of the seeds.
func (s *Settings) SeedIPs() []string {
	var out []string
	for _, a := range s.SeedNodes {
		if h, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// Milliseconds turns a bound in milliseconds, times a ratio, into a duration.
func Milliseconds(bound, ratio float64) time.Duration {
	return time.Duration(bound * ratio * float64(time.Millisecond))
}

// Seconds turns a bound in seconds, times a ratio, into a duration.
func Seconds(bound, ratio float64) time.Duration { return Milliseconds(bound*1000, ratio) }
