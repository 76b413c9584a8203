package host

import (
	"fmt"
	"strings"
)

// Role is what a node is started as. RoleControl and RoleFront only name what
// follows from the settings, a disk and what the node serves; RoleCache makes a
// node with a disk cache objects instead of keeping state. The zero value
// leaves everything to the settings.
type Role string

// The roles.
const (
	RoleControl Role = "control"
	RoleFront   Role = "front"
	RoleCache   Role = "cache"
)

var roles = []Role{RoleControl, RoleFront, RoleCache}

// deprecatedRoles are the names of earlier versions, which deploy files may
// still hold.
var deprecatedRoles = map[string]Role{
	"hut":    RoleControl,
	"trail":  RoleFront,
	"larder": RoleCache,
}

// UnknownRoleError is returned by ParseRole.
type UnknownRoleError struct {
	Name string
}

func (e *UnknownRoleError) Error() string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return fmt.Sprintf("there is no role %q; roles: %s", e.Name, strings.Join(names, ", "))
}

// ParseRole returns the role of that name. The names of earlier versions are
// accepted too; deprecated reports that name is one of them.
func ParseRole(name string) (role Role, deprecated bool, err error) {
	for _, r := range roles {
		if name == string(r) {
			return r, false, nil
		}
	}
	if r, ok := deprecatedRoles[name]; ok {
		return r, true, nil
	}
	return "", false, &UnknownRoleError{Name: name}
}
