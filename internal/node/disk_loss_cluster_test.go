package node_test

import (
	"fmt"
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// Two disks of five are lost right after an acknowledgement, and the other
// machines lose power at the same moment: nothing acknowledged is gone. What
// the holder of the polling lease does after it came back at once is not taken
// for old.
func TestFiveControlNodesLoseTwoDisks(t *testing.T) {
	c := testcluster.New(t)
	c.ToleratedLosses = 2
	endpoint := c.AddEndpoint("plain", "plain-a")
	c.AddEndpoint("plain", "plain-b")
	c.AddEndpoint("s1", "s1-a")
	for _, n := range []int{1, 2, 3, 4, 5, 11} {
		c.StartNode(n, true, 1, 2, 3)
	}
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	if voters := c.Control(2).State().Voters; len(voters) != 5 {
		t.Fatalf("acknowledged with %d voters", len(voters))
	}
	if status, _ := c.PutConfiguration(4, "PUT", "3", testcluster.ConfigurationBody(4, "s1")); status != 200 {
		t.Fatal(status)
	}
	c.Eventually("the front serves", func() bool { r, _, _ := c.Request(11, "GET", "/p/x", ""); return r.StatusCode == 200 })
	for n := 1; n <= 5; n++ {
		c.Kill(fmt.Sprint(n))
	}
	c.ReplaceDisk(1)
	c.ReplaceDisk(4)
	for n := 1; n <= 5; n++ {
		c.StartNode(n, false, 1, 2, 3)
	}
	c.Eventually("what was acknowledged is read back", func() bool {
		status, body := c.PutConfiguration(1, "GET", "", "")
		return status == 200 && body == testcluster.ConfigurationBody(4, "s1")
	})
	c.Eventually("the empty disks vote under new identities", func() bool {
		return c.IsVoter(3, 1) && c.IsVoter(3, 4) && len(c.Control(3).State().Voters) == 5
	})
	for i := range 3 {
		checkPollerRestart(t, c, endpoint, i)
	}
}

// checkPollerRestart kills the holder of the polling lease and starts it again
// at once: an endpoint that drains or goes in that moment is noticed all the same.
func checkPollerRestart(t *testing.T, c *testcluster.Cluster, endpoint *testcluster.Endpoint, round int) {
	t.Helper()
	holder := 0
	c.Eventually("somebody polls", func() bool {
		for n := 1; n <= 5; n++ {
			if c.Control(n).Status().HoldsLease {
				holder = n
				return true
			}
		}
		return false
	})
	before := c.Control(holder).Status().LeaseEpoch
	c.Kill(fmt.Sprint(holder))
	state := "draining"
	if round%2 == 1 {
		state = "ready"
		c.RemoveEndpoint("plain-a")
	}
	c.SetEndpointState("plain-a", state)
	c.StartNode(holder, false, 1, 2, 3)
	c.Eventually("a new epoch is taken", func() bool { return c.Control(3).Status().LeaseEpoch > before })
	time.Sleep(800 * time.Millisecond) // DrainMs
	count := endpoint.RunCount()
	for range 6 {
		if r, _, _ := c.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("with one endpoint draining: %d", r.StatusCode)
		}
	}
	if endpoint.RunCount() != count {
		t.Fatal("a draining went unnoticed")
	}
}

// A disk is lost right after an acknowledgement and every other machine goes
// dark at the same moment, the fronts and cache nodes too: what was acknowledged
// is read back at every node, and requests are served again.
func TestEveryMachineDarkWithADiskLost(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint("disk of node ", lost), func(t *testing.T) {
			c := startCacheTestTolerating(t, 1)
			if !c.serves(11, "/c/x", "/c/x version 1") {
				t.Fatal("the object is not served")
			}
			c.origin.ServeObjects(2)
			if status := c.post(lost, nodeapi.PathPurge, `{"Tag":"all"}`); status != 200 {
				t.Fatal(status)
			}
			if status, _ := c.PutConfiguration(lost, "PUT", "3", testcluster.ConfigurationBody(4, "s1")); status != 200 {
				t.Fatal(status)
			}
			machines := []int{1, 2, 3, 11, 12, 21, 22}
			for _, n := range machines {
				c.Kill(fmt.Sprint(n))
			}
			c.ReplaceDisk(lost)
			for _, n := range machines {
				c.StartNode(n, false, 1, 2, 3)
			}
			for _, n := range machines {
				c.Eventually(fmt.Sprint("node ", n, " reads back what was acknowledged"), func() bool {
					status, body := c.PutConfiguration(n, "GET", "", "")
					if status == 200 && body != testcluster.ConfigurationBody(4, "s1") {
						t.Fatalf("node %d reads %.20s", n, body)
					}
					return status == 200
				})
			}
			for _, n := range []int{11, 12} {
				c.Eventually("objects and shards are served", func() bool {
					response, _, _ := c.Request(n, "GET", "/g/x", "")
					return response.StatusCode == 200 && c.serves(n, "/c/x", "/c/x version 2")
				})
			}
		})
	}
}
