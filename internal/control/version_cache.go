package control

import (
	"swiftswitch/internal/codec"
	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"
)

// maxPackedVersions bounds for how many held versions responses are kept.
const maxPackedVersions = 2 * maxPastBodies

// versionCache answers the fronts that fetch the configuration: whole, or as the
// difference to the version that they hold. All fronts fetch a new version at
// the same moment, so each response is computed and compressed once.
//
// It is owned by Server.loop.
type versionCache struct {
	server *Server
	// packed holds the responses for the version in force, by the version that
	// the front holds.
	packed map[int64]packedVersion
}

// packedVersion is what the responses to all fronts that hold the same version
// have in common, and their gzipped body.
type packedVersion struct {
	response nodeapi.VersionResponse
	body     []byte
}

func newVersionCache(s *Server) *versionCache {
	return &versionCache{server: s, packed: map[int64]packedVersion{}}
}

// invalidate drops the responses: another version is in force.
func (v *versionCache) invalidate() { clear(v.packed) }

// response returns the response to a front and its gzipped body.
func (v *versionCache) response(request nodeapi.VersionRequest) (nodeapi.VersionResponse, []byte) {
	packed, ok := v.packed[request.Version]
	if !ok {
		packed = v.pack(request.Version)
		if len(v.packed) < maxPackedVersions {
			v.packed[request.Version] = packed
		}
	}
	state := v.server.acceptor.State
	response := packed.response
	response.Slot = state.Slot
	response.Version = state.Version
	response.AgeMs = (v.server.host.Now() - v.server.versionLearnedAt).Milliseconds()
	return response, packed.body
}

// pack compresses the configuration in force, or its difference to
// baseVersion if that one is still known and the two can be compared.
func (v *versionCache) pack(baseVersion int64) (packed packedVersion) {
	body := []byte(v.server.acceptor.State.Body)
	if past, known := v.server.pastBody(baseVersion); known {
		if diff, ok := config.Diff([]byte(past), body); ok {
			packed.response.BaseVersion = baseVersion
			packed.response.Removed = diff.Removed
			packed.response.Lists = diff.Lists
			body = diff.Changes
		}
	}
	packed.body = codec.Gzip(body)
	return packed
}
