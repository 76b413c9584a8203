package control

import (
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

func TestPurgesOfOneBatchAreDistinct(t *testing.T) {
	now := time.Now()
	wait := func(id, host, path, tag string, in time.Duration) *pendingPurge {
		return &pendingPurge{Purge: consensus.Purge{ID: id, Host: host, Path: path, Tag: tag}, until: now.Add(in)}
	}
	a, b, again, other := wait("1", "h", "/x", "", 50), wait("2", "", "", "t", 90), wait("3", "h", "/x", "", 70), wait("4", "h", "/y", "", 20)
	gone := wait("5", "h", "/z", "", -1)
	batch := newPurgeBatch([]*pendingPurge{gone, a, b, again, other}, now)
	if len(batch.purges) != 3 || batch.purges[0].ID != "1" || batch.purges[1].ID != "2" || batch.purges[2].ID != "4" {
		t.Errorf("the batch proposes %+v", batch.purges)
	}
	if again.ID != "1" || !batch.covered[again] || batch.covered[gone] || len(batch.covered) != 4 || !batch.until.Equal(now.Add(90)) {
		t.Errorf("it covers %v until %v", batch.covered, batch.until)
	}
}
