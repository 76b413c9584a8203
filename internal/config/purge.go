package config

import "errors"

// PurgeRequest is an operator's order to drop cached objects: either those of
// a host and path, or those that bear a tag. The other fields are empty.
type PurgeRequest struct {
	HostName string `json:"HostName"`
	Path     string `json:"Path"`
	Tag      string `json:"Tag"`
}

// ParsePurgeRequest reads and validates a purge.
func ParsePurgeRequest(raw []byte) (PurgeRequest, error) {
	// Pointers tell a key that is missing from one that is empty.
	var p struct {
		HostName *string `json:"HostName"`
		Path     *string `json:"Path"`
		Tag      *string `json:"Tag"`
	}
	if err := decodeSingle(raw, &p, "a purge", "the purge"); err != nil {
		return PurgeRequest{}, err
	}
	isSet := func(s *string) bool { return s != nil && *s != "" }
	switch {
	case isSet(p.Tag) && p.HostName == nil && p.Path == nil:
		return PurgeRequest{Tag: *p.Tag}, nil
	case isSet(p.HostName) && isSet(p.Path) && (*p.Path)[0] == '/' && p.Tag == nil:
		return PurgeRequest{HostName: *p.HostName, Path: *p.Path}, nil
	}
	return PurgeRequest{}, errors.New("a purge wants either HostName and Path, or Tag")
}
