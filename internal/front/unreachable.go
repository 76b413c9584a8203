package front

import (
	"swiftswitch/internal/nodeapi"
	"time"
)

// reportUnreachableLoop tells the hut watched first of searchers that did not answer.
func (t *Server) reportUnreachableLoop() {
	for {
		select {
		case <-t.host.Stopping:
			return
		case <-t.endpointMissed:
		}
		// Others of the same request come in together.
		time.Sleep(t.host.Heartbeats(0.05))
		dark := t.endpoints.UnreachableOrdinals(t.host.Heartbeats(1))
		to := ""
		t.loop.Call(func() {
			if len(t.watchTargets) > 0 {
				to = t.watchTargets[0]
			}
		})
		if len(dark) == 0 || to == "" {
			continue
		}
		_ = t.host.Client.CallJSON(t.host.Settings().InternalAddress(to), nodeapi.PathUnreachable, nodeapi.UnreachableReport{Name: t.host.Settings().NodeName, UnreachableOrdinals: dark}, nil, t.host.Heartbeats(0.5))
		time.Sleep(t.host.Heartbeats(0.2))
	}
}
