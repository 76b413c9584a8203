package host

import (
	"errors"
	"testing"
)

func TestParseRole(t *testing.T) {
	for _, c := range []struct {
		name       string
		want       Role
		deprecated bool
	}{
		{"control", RoleControl, false},
		{"front", RoleFront, false},
		{"cache", RoleCache, false},
		{"hut", RoleControl, true},
		{"trail", RoleFront, true},
		{"larder", RoleCache, true},
	} {
		if got, deprecated, err := ParseRole(c.name); got != c.want || deprecated != c.deprecated || err != nil {
			t.Errorf("%s: %q %v %v", c.name, got, deprecated, err)
		}
	}
	unknown := &UnknownRoleError{}
	if _, _, err := ParseRole("cabin"); !errors.As(err, &unknown) || unknown.Name != "cabin" {
		t.Errorf("cabin: %v", err)
	}
}
