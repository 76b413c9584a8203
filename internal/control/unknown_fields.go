package control

import (
	"strings"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

// findUnknownFields looks for fields of a configuration in force that this
// program does not read, and logs them once for each version. A large
// configuration takes a while to walk, so that is not done on the loop.
func (r *replica) findUnknownFields(state consensus.State) {
	if state.Version == 0 {
		return
	}
	go func() {
		fields := config.UnknownFields([]byte(state.Body))
		if len(fields) > 0 {
			events.Log(events.ConfigFieldsUnknown, "version", state.Version, "fields", strings.Join(fields, ","))
		}
		r.loop.Submit(func() {
			if r.acceptor.State.Version == state.Version {
				r.unknownFields = fields
			}
		})
	}()
}
