// Package tenant finds the tenant that a key belongs to.
//
// A Directory holds the tenants of one version of the configuration. It is
// compiled once and never changed, so that it may be read concurrently. Keys
// are held and looked up by their digests only: no key stands in the memory of
// the directory, and how long a look-up takes says nothing about other keys.
//
// The package is pure: it knows no clock, network or configuration format
// beyond config.Tenant, and locks nothing.
package tenant
