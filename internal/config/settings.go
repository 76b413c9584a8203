package config

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"
)

// SettingsPathEnv is the environment variable that holds the settings file's path.
const SettingsPathEnv = "SWIFTSWITCH_SETTINGS"

// DefaultSettingsPath is used where the variable is not set.
const DefaultSettingsPath = "/etc/swiftswitch/boot.yaml"

// SettingsPath returns the path of the settings file of this process.
func SettingsPath() string {
	if p := os.Getenv(SettingsPathEnv); p != "" {
		return p
	}
	return DefaultSettingsPath
}

// LoadSettings reads and validates a settings file.
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

// ParseSettings reads and validates settings in YAML. Bounds, Limits,
// ListenAddresses and CloudApi of the result are never nil.
func ParseSettings(raw []byte) (*Settings, error) {
	asJSON, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, fmt.Errorf("not YAML: %w", err)
	}
	s := &Settings{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(asJSON, s); err != nil {
		return nil, fmt.Errorf("wrong shape: %w", err)
	}
	if s.Bounds == nil {
		s.Bounds = &Bounds{}
	}
	if s.Limits == nil {
		s.Limits = &MachineLimits{}
	}
	if s.ListenAddresses == nil {
		s.ListenAddresses = &ListenAddresses{}
	}
	if s.CloudApi == nil {
		s.CloudApi = &CloudAPI{}
	}
	return s, s.validate()
}

// HasDisk reports whether this process may keep state on disk.
func (s *Settings) HasDisk() bool { return s.DataDirectory != "" }

// InternalPort returns the port for traffic between nodes, the same on all machines.
func (s *Settings) InternalPort() string { return strconv.Itoa(int(s.InternalPortRange[0])) }

// InternalAddress returns the address at which the node with that IP accepts
// calls from other nodes.
func (s *Settings) InternalAddress(ip string) string { return net.JoinHostPort(ip, s.InternalPort()) }

// SeedIPs returns the IP of each seed node.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, address := range s.SeedNodes {
		if ip, _, err := net.SplitHostPort(address); err == nil {
			ips = append(ips, ip)
		}
	}
	return ips
}
