package config

import "slices"

// implementedContracts are the parts of the service rules, by their names in
// Settings.ActiveContracts, that this program keeps.
var implementedContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "scatter",
	"health", "pool", "cache", "rollout", "tenants",
}

// UnsupportedContracts returns those of the settings' ActiveContracts that no
// code of this program stands for.
func (s *Settings) UnsupportedContracts() []string {
	return slices.DeleteFunc(slices.Clone(s.ActiveContracts), func(name string) bool {
		return slices.Contains(implementedContracts, name)
	})
}
