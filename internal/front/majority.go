package front

import (
	"math"
	"time"

	"swiftswitch/internal/host"
)

// endlessSilence is the silence of a node that never had contact with a majority.
const endlessSilence = time.Duration(math.MaxInt64)

// majorityContact remembers when the node last had contact with a majority of
// the voters, through a control node. Without it the node must assume that
// decisions were made which it does not know. It is safe for concurrent use.
type majorityContact struct {
	host    *host.Host
	heardAt latestTime
}

// record notes an answer of a control node in contact with a majority.
func (m *majorityContact) record() { m.heardAt.advance(m.host.Now()) }

// clock returns the monotonic time and how long ago the last contact was,
// endlessSilence where there was none since the start.
func (m *majorityContact) clock() (now, silence time.Duration) {
	now = m.host.Now()
	at := m.heardAt.at.Load()
	if at == nil {
		return now, endlessSilence
	}
	return now, now - *at
}
