package control

import (
	"swiftswitch/internal/consensus"
	"testing"
	"time"
)

func TestPurgesOfOneBatchAreDistinct(t *testing.T) {
	now := time.Now()
	wait := func(id, host, path, tag string, in time.Duration) *pendingPurge {
		return &pendingPurge{purge: consensus.Purge{ID: id, Host: host, Path: path, Tag: tag}, until: now.Add(in)}
	}
	a, b, again, other := wait("1", "h", "/x", "", 50), wait("2", "", "", "t", 90), wait("3", "h", "/x", "", 70), wait("4", "h", "/y", "", 20)
	gone := wait("5", "h", "/z", "", -1)
	purges, of, until := distinctPurges([]*pendingPurge{gone, a, b, again, other}, now)
	if len(purges) != 3 || purges[0].ID != "1" || purges[1].ID != "2" || purges[2].ID != "4" {
		t.Errorf("chosen are %+v", purges)
	}
	if again.purge.ID != "1" || !of[again] || of[gone] || len(of) != 4 || !until.Equal(now.Add(90)) {
		t.Errorf("they are for %v until %v", of, until)
	}
}
