package config

import (
	"errors"
	"fmt"
	"strings"
)

// IsTenantName reports whether a tenant's name can be told to endpoints: it
// fills the value of a header field, and can't be taken for more than that.
func IsTenantName(name string) bool {
	if name == "" || strings.TrimSpace(name) != name {
		return false
	}
	for _, c := range []byte(name) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// validateTenants returns the first error of the tenants. No error names a key.
func validateTenants(tenants []*Tenant) error {
	owners := map[string]int{}
	for i, t := range tenants {
		switch {
		case t.Name == "":
			return errors.New("a tenant has no Name")
		case !IsTenantName(t.Name):
			return fmt.Errorf("the Name of tenant %q can't be a header's value", t.Name)
		case t.GetPriority() < 0, t.RequestsPerS < 0, t.BurstSize < 0:
			return fmt.Errorf("tenant %q: a number is out of its range", t.Name)
		}
		for _, key := range t.ApiKeys {
			if key == "" {
				continue
			}
			if owner, taken := owners[key]; taken && owner != i {
				return fmt.Errorf("tenants %q and %q share a key", tenants[owner].Name, t.Name)
			}
			owners[key] = i
		}
	}
	return nil
}
