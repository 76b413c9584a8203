package node_test

import (
	"bytes"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

func TestFrontsSwitchToANewShardLayout(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	addEndpoints(c, endpoints, "n1-a", "n1-b", "n2-a", "n2-b", "n3-a")
	time.Sleep(500 * time.Millisecond)
	if status, body := c.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "n1", "n2")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	c.Eventually("the new layout serves on both fronts", func() bool {
		switched := 0
		for _, front := range []int{11, 12} {
			response, body, _ := c.Request(front, "GET", "/g/x", "")
			switch {
			case response.StatusCode == 200 && bytes.Equal(body, testcluster.TopRecords(7, "n1", "n2")):
				switched++
			case response.StatusCode == 200 && bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")):
			default:
				t.Fatalf("neither layout: %d %v", response.StatusCode, response.Header)
			}
		}
		return switched == 2
	})
	before := executed(endpoints["s1-a"], endpoints["s1-b"])
	for range 5 {
		c.Request(11, "GET", "/g/x", "")
	}
	if executed(endpoints["s1-a"], endpoints["s1-b"]) != before {
		t.Fatal("the old layout still gets queries")
	}
	// A shard that never has R endpoints does not hold the switch up.
	begun := time.Now()
	if status, body := c.PutConfiguration(1, "PUT", "5", testcluster.ConfigurationBody(8, "n1", "n3")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	c.Eventually("the layout that is not ready serves", func() bool {
		_, body, _ := c.Request(11, "GET", "/g/x", "")
		return bytes.Equal(body, testcluster.TopRecords(7, "n1", "n3"))
	})
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("the switch took %v", took)
	}
}
