package front

import (
	"sync/atomic"
	"time"

	"swiftswitch/internal/host"
)

// majorityContact remembers when the node last had contact with a majority of
// the voters, through a control node. Without it the node must assume that
// decisions were made which it does not know. It is safe for concurrent use.
type majorityContact struct {
	host *host.Host
	// heardAt is a time of the node's monotonic clock.
	heardAt atomic.Int64
}

// record notes an answer of a control node in contact with a majority.
func (m *majorityContact) record() { m.heardAt.Store(int64(m.host.Now())) }

// clock returns the monotonic time and how long ago the last contact was.
func (m *majorityContact) clock() (now, silence time.Duration) {
	now = m.host.Now()
	return now, now - time.Duration(m.heardAt.Load())
}
