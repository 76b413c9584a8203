package lease

import (
	"testing"
	"time"
)

// lease is the lease duration of the tests.
const lease = time.Second

// role is the singleton role of the tests.
const role = "list"

func newRequest(epoch int64, holder string, incarnation, votersSlot int64) Request {
	return Request{Role: role, Epoch: epoch, Holder: holder, Incarnation: incarnation, VotersSlot: votersSlot}
}

// cluster is some nodes, each a voter and a candidate, whose calls arrive at once.
type cluster struct {
	t          *testing.T
	ids        []string
	voters     map[string]*Voter
	candidates map[string]*Candidate
}

func newCluster(t *testing.T, ids ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, ids: ids, voters: map[string]*Voter{}, candidates: map[string]*Candidate{}}
	for _, id := range ids {
		c.voters[id] = NewVoter(id, lease, nil, 0, true, 0)
		c.candidates[id] = NewCandidate(role, id, lease, 0)
		c.candidates[id].SetVoters(0, ids)
		c.candidates[id].SetIncarnation(1)
	}
	return c
}

// exchangeHeartbeats lets all of these nodes hear each other.
func (c *cluster) exchangeHeartbeats(now time.Duration, ids ...string) {
	for _, to := range ids {
		for _, from := range ids {
			c.candidates[to].OnHeartbeat(from, c.candidates[from].Eligible(now), now)
			c.candidates[to].ObserveEpoch(c.candidates[from].ObservedEpoch, c.candidates[from].ObservedHolder)
		}
	}
}

// campaign lets a node send its request to those voters, if it campaigns at all.
func (c *cluster) campaign(now time.Duration, id string, voters ...string) bool {
	request, ok := c.candidates[id].NextRequest(now)
	if !ok {
		return false
	}
	for _, v := range voters {
		response, write := c.voters[v].HandleRequest(request, now)
		c.voters[v].MarkDurable(write)
		c.candidates[id].OnResponse(request, response, now, now)
	}
	return true
}

// wantHolder checks that this node alone holds the lease; "": nobody does.
func (c *cluster) wantHolder(now time.Duration, want string) {
	c.t.Helper()
	for _, id := range c.ids {
		if holds := c.candidates[id].Holds(now); holds != (id == want) {
			c.t.Fatalf("at %v %s holds the lease: %v; want holder %q", now, id, holds, want)
		}
	}
}

func TestLeasePassesToNextPreferredAndBack(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	if c.campaign(1, "a", "a") {
		t.Fatal("a node that hears nobody campaigns")
	}
	for range 2 {
		c.exchangeHeartbeats(1, "a", "b", "c")
	}
	if !c.campaign(1, "a", "a") {
		t.Fatal("the preferred node does not campaign at once")
	}
	c.wantHolder(1, "")
	c.campaign(1, "a", "b")
	c.wantHolder(1, "a")
	if c.candidates["a"].ObservedEpoch != 1 || c.campaign(1, "b", "a", "b", "c") {
		t.Fatal("the second node campaigns while the preferred one is alive")
	}
	// a renews with b, then its process is paused.
	c.exchangeHeartbeats(lease/2, "a", "b", "c")
	c.campaign(lease/2, "a", "a", "b")
	c.wantHolder(lease, "a")
	c.wantHolder(lease/2+lease-lease/20, "")
	c.exchangeHeartbeats(5*lease/4, "b", "c")
	if c.campaign(5*lease/4, "b", "b", "c") {
		t.Fatal("a node that was heard within a lease duration is passed over")
	}
	c.exchangeHeartbeats(31*lease/20, "b", "c")
	c.campaign(31*lease/20, "b", "b", "c")
	c.wantHolder(31*lease/20, "b")
	if epoch, ok := c.candidates["b"].FencingToken(31 * lease / 20); !ok || epoch != 2 {
		t.Fatalf("fencing token %d, %v; want 2, true", epoch, ok)
	}
	// a resumes. Its old request wins nothing; b gives way once it hears that a is eligible.
	c.campaign(32*lease/20, "a", "a", "b", "c")
	c.wantHolder(32*lease/20, "b")
	c.exchangeHeartbeats(33*lease/20, "a", "b", "c")
	c.exchangeHeartbeats(33*lease/20, "a", "b", "c")
	released, ok := c.candidates["b"].YieldToPreferred(33 * lease / 20)
	if !ok {
		t.Fatal("the second node does not give way to the preferred one")
	}
	c.wantHolder(33*lease/20, "")
	c.campaign(33*lease/20, "a", "a", "b", "c")
	c.wantHolder(33*lease/20, "")
	for _, id := range c.ids {
		c.voters[id].HandleRelease(released, 33*lease/20)
	}
	for range 2 {
		c.campaign(33*lease/20, "a", "a", "b", "c")
	}
	c.wantHolder(33*lease/20, "a")
	if epoch := c.candidates["a"].ObservedEpoch; epoch != 3 {
		t.Fatalf("epoch %d, want 3", epoch)
	}
	// A release that arrives late ends nothing.
	c.voters["b"].HandleRelease(released, 34*lease/20)
	if response, _ := c.voters["b"].HandleRequest(newRequest(9, "c", 1, 0), 34*lease/20); response.Granted {
		t.Fatal("an old release ended a newer lease")
	}
	// A node that drains releases the lease at once.
	if _, ok := c.candidates["a"].Resign(); !ok || c.candidates["a"].Holds(35*lease/20) {
		t.Fatal("a draining node keeps the lease")
	}
}

func TestLeaseEndsWithItsVoterSet(t *testing.T) {
	c := NewCandidate(role, "a", lease, 0)
	c.SetIncarnation(1)
	c.SetVoters(0, []string{"a"})
	request, _ := c.NextRequest(1)
	c.OnResponse(request, Response{Voter: "a", Granted: true}, 1, 1)
	if !c.Holds(1) {
		t.Fatal("a sole voter is no majority")
	}
	c.SetVoters(4, []string{"a"})
	if request, _ := c.NextRequest(2); c.Holds(2) || request.Epoch != firstEpoch(4) {
		t.Fatal("a lease outlives the set of voters that granted it")
	}
}

// A preferred node that nobody grants anything steps back for the next one,
// and campaigns again later.
func TestFruitlessCampaign(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	now := lease / 10
	for ; now < 9*lease && !c.candidates["b"].Holds(now); now += lease / 5 {
		c.exchangeHeartbeats(now, "a", "b", "c")
		c.campaign(now, "a")
		c.campaign(now, "b", "a", "b", "c")
	}
	if now > 5*lease {
		t.Fatalf("nobody holds the lease at %v", now)
	}
	if c.candidates["a"].Eligible(now) {
		t.Fatal("a node that campaigned in vain calls itself eligible")
	}
	for end := now + 3*lease; now < end; now += lease / 5 {
		c.exchangeHeartbeats(now, "a", "b", "c")
		if _, ok := c.candidates["b"].YieldToPreferred(now); ok {
			return
		}
	}
	t.Fatal("the preferred node never becomes eligible again")
}

func TestNoCampaignWithoutVoteOrIncarnation(t *testing.T) {
	c := NewCandidate(role, "x", lease, 0)
	c.SetIncarnation(1)
	if _, ok := c.NextRequest(9 * lease); ok {
		t.Fatal("a node campaigns without knowing the voters")
	}
	c.SetVoters(1, []string{"a", "b"})
	c.OnHeartbeat("a", false, 9*lease)
	c.OnHeartbeat("b", false, 9*lease)
	if _, ok := c.NextRequest(9 * lease); ok {
		t.Fatal("a node that is no voter campaigns")
	}
	c.SetVoters(2, []string{"x"})
	c.SetIncarnation(0)
	if _, ok := c.NextRequest(9 * lease); ok {
		t.Fatal("a request bears an incarnation that is not on disk")
	}
	if at, heard := c.LastHeard("c"); heard {
		t.Fatalf("a node that was never heard was heard at %v", at)
	}
	if at, heard := c.LastHeard("a"); !heard || at != 9*lease {
		t.Fatalf("a node was heard at %v: %v", at, heard)
	}
}
