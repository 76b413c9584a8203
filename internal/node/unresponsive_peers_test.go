package node

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestUnresponsivePeersAreSortedLast(t *testing.T) {
	peers := unresponsivePeers{}
	ips := []string{"a", "b", "c", "d"}
	peers.record("a", false, 10)
	peers.record("c", false, 15)
	for _, c := range []struct {
		now  time.Duration
		want string
	}{{20, "bdac"}, {105, "bdac"}, {111, "abdc"}, {200, "abcd"}} {
		if got := strings.Join(peers.sortLast(ips, c.now, 100), ""); got != c.want {
			t.Errorf("at %d: %s, want %s", c.now, got, c.want)
		}
	}
	if len(peers) > 0 {
		t.Errorf("still kept: %v", peers)
	}
	peers.record("b", false, 210)
	peers.record("b", true, 220)
	if got := peers.sortLast(ips, 230, 100); !slices.Equal(got, ips) {
		t.Errorf("one that answered again is sorted last: %v", got)
	}
}
