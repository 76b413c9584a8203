package node

import (
	"slices"
	"time"
)

// unresponsivePeers holds, by address, when a node last failed to answer a
// forwarded call. It is not safe for concurrent use; a node's belongs to
// ViewLoop.
type unresponsivePeers map[string]time.Duration

// record takes whether a node answered.
func (u unresponsivePeers) record(ip string, answered bool, now time.Duration) {
	if answered {
		delete(u, ip)
		return
	}
	u[ip] = now
}

// sortLast returns the addresses in their order, but with those last that
// failed to answer within the window. It forgets failures before that.
func (u unresponsivePeers) sortLast(ips []string, now, window time.Duration) []string {
	for ip, failedAt := range u {
		if now-failedAt >= window {
			delete(u, ip)
		}
	}
	var responsive, unresponsive []string
	for _, ip := range ips {
		if _, failed := u[ip]; failed {
			unresponsive = append(unresponsive, ip)
		} else {
			responsive = append(responsive, ip)
		}
	}
	return slices.Concat(responsive, unresponsive)
}
