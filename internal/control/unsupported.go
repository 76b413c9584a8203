package control

import (
	"strings"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

// findUnsupported looks for what a configuration in force asks for and this
// program does not do, and logs it once for each version. A large configuration
// takes a while to walk, so that is not done on the loop.
func (r *replica) findUnsupported(state consensus.State) {
	if state.Version == 0 {
		return
	}
	go func() {
		unsupported := config.Unsupported([]byte(state.Body))
		if len(unsupported) > 0 {
			events.Log(events.ConfigUnsupported, "version", state.Version, "unsupported", strings.Join(unsupported, ","))
		}
		r.loop.Submit(func() {
			if r.acceptor.State.Version == state.Version {
				r.unsupported = unsupported
			}
		})
	}()
}
