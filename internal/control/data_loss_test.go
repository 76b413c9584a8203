package control_test

import (
	"testing"

	"swiftswitch/internal/testcluster"
)

// Disks are lost and a node is replaced, one after the other: nothing that was
// acknowledged is lost, and a minority acknowledges nothing.
func TestLostDiskAndReplacedNode(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	if st, _ := w.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(4, "s1", "s2")); st != 200 {
		t.Fatal(st)
	}
	// Node 1 loses its disk right after it acknowledged.
	w.Kill("1")
	w.ReplaceDisk(1)
	w.StartNode(1, false, 2, 3)
	w.Eventually("the empty node votes under a new identity", func() bool {
		s := w.Nodes["2"].Control().State()
		return s.IsVoter(w.Nodes["1"].Control().ID()) && len(s.Voters) == 3
	})
	if st, body := w.PutConfiguration(1, "GET", "", ""); st != 200 || body != testcluster.ConfigurationBody(4, "s1", "s2") {
		t.Fatalf("after a lost disk: %d %q", st, body)
	}
	// Node 3 is lost for good; an empty one comes at another address.
	w.Kill("3")
	w.StartNode(4, false, 1, 2)
	w.Eventually("the new node votes in place of the lost one", func() bool {
		s := w.Nodes["1"].Control().State()
		return s.IsVoter(w.Nodes["4"].Control().ID()) && len(s.Voters) == 3
	})
	w.Eventually("changes are acknowledged again", func() bool {
		st, _ := w.PutConfiguration(4, "PUT", "4", testcluster.ConfigurationBody(5, "s1", "s2"))
		return st == 200
	})
	// A minority acknowledges nothing and answers no read.
	w.Kill("1")
	w.Kill("2")
	if st, _ := w.PutConfiguration(4, "PUT", "5", testcluster.ConfigurationBody(6, "s1", "s2")); st == 200 {
		t.Fatal("a minority acknowledged")
	}
	if st, _ := w.PutConfiguration(4, "PUT", "5", "nonsense"); st != 400 {
		t.Fatalf("an invalid configuration in a minority: %d", st)
	}
	if st, _ := w.PutConfiguration(4, "GET", "", ""); st == 200 {
		t.Fatal("a minority answered a read")
	}
	if r, _, _ := w.Request(11, "GET", "/g/x", ""); r.StatusCode != 200 {
		t.Fatal("the front does not serve by the last configuration")
	}
	// All come back from their disks, with other seeds than at first.
	w.Kill("4")
	defer func() {
		// The fronts are known to be two before either has been heard.
		n, before := w.Nodes["2"].Control(), 0
		n.Loop().Call(func() { before = n.InheritedFrontCount() })
		if before != 2 {
			t.Errorf("%d fronts are remembered", before)
		}
	}()
	w.StartNode(4, false, 2)
	w.StartNode(1, false, 4)
	w.StartNode(2, false, 4, 1)
	w.Eventually("the newest acknowledged version is read back", func() bool {
		st, body := w.PutConfiguration(2, "GET", "", "")
		return st == 200 && (body == testcluster.ConfigurationBody(5, "s1", "s2") || body == testcluster.ConfigurationBody(6, "s1", "s2"))
	})
}
