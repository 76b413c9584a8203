package lease

import (
	"testing"
	"time"
)

const s = time.Second

// place is three voters and their duties, with calls that arrive at once.
type place struct {
	t      *testing.T
	ids    []string
	voters map[string]*Voter
	duties map[string]*Candidate
}

func newPlace(t *testing.T, ids ...string) *place {
	p := &place{t: t, ids: ids, voters: map[string]*Voter{}, duties: map[string]*Candidate{}}
	for _, id := range ids {
		p.voters[id] = NewVoter(id, s, nil, 0, true, 0)
		p.duties[id] = NewCandidate("list", id, s, 0)
		p.duties[id].SetVoters(0, ids)
		p.duties[id].SetIncarnation(1)
	}
	return p
}

// hear lets all of these hear each other.
func (p *place) hear(now time.Duration, ids ...string) {
	for _, a := range ids {
		for _, b := range ids {
			p.duties[a].OnHeartbeat(b, p.duties[b].Eligible(now), now)
			p.duties[a].ObserveEpoch(p.duties[b].ObservedEpoch, p.duties[b].ObservedHolder)
		}
	}
}

// bid lets a node ask those voters, if it bids at all.
func (p *place) bid(now time.Duration, id string, to ...string) bool {
	b, ok := p.duties[id].NextRequest(now)
	if !ok {
		return false
	}
	for _, v := range to {
		g, write := p.voters[v].HandleRequest(b, now)
		p.voters[v].MarkDurable(write)
		p.duties[id].OnResponse(b, g, now, now)
	}
	return true
}

func (p *place) holds(now time.Duration, want string) {
	p.t.Helper()
	for _, id := range p.ids {
		if p.duties[id].Holds(now) != (id == want) {
			p.t.Fatalf("at %v %s holds: %v; it should be %q", now, id, p.duties[id].Holds(now), want)
		}
	}
}

func TestDutyTrace(t *testing.T) {
	p := newPlace(t, "a", "b", "c")
	if p.bid(1, "a", "a") {
		t.Fatal("a node that hears nobody bids")
	}
	for range 2 {
		p.hear(1, "a", "b", "c")
	}
	if !p.bid(1, "a", "a") {
		t.Fatal("the first node does not bid at once")
	}
	p.holds(1, "")
	p.bid(1, "a", "b")
	p.holds(1, "a")
	if p.duties["a"].ObservedEpoch != 1 || p.bid(1, "b", "a", "b", "c") {
		t.Fatal("the second bids beside a live first")
	}
	// a renews with b, until it freezes.
	p.hear(s/2, "a", "b", "c")
	p.bid(s/2, "a", "a", "b")
	p.holds(s, "a")
	p.holds(s/2+s-s/20, "")
	p.hear(5*s/4, "b", "c")
	if p.bid(5*s/4, "b", "b", "c") {
		t.Fatal("a node that was heard within a lease is passed over")
	}
	p.hear(31*s/20, "b", "c")
	p.bid(31*s/20, "b", "b", "c")
	p.holds(31*s/20, "b")
	if e, ok := p.duties["b"].FencingToken(31 * s / 20); !ok || e != 2 {
		t.Fatalf("epoch %d, %v", e, ok)
	}
	// a wakes. Its old bid wins nothing; b gives way once it hears that a is fit.
	p.bid(32*s/20, "a", "a", "b", "c")
	p.holds(32*s/20, "b")
	p.hear(33*s/20, "a", "b", "c")
	p.hear(33*s/20, "a", "b", "c")
	b, ok := p.duties["b"].Release(false, 33*s/20)
	if !ok {
		t.Fatal("the second does not give way")
	}
	p.holds(33*s/20, "")
	p.bid(33*s/20, "a", "a", "b", "c")
	p.holds(33*s/20, "")
	for _, id := range p.ids {
		p.voters[id].HandleRelease(b, 33*s/20)
	}
	for range 2 {
		p.bid(33*s/20, "a", "a", "b", "c")
	}
	p.holds(33*s/20, "a")
	if p.duties["a"].ObservedEpoch != 3 {
		t.Fatalf("epoch %d", p.duties["a"].ObservedEpoch)
	}
	// A release that comes late ends nothing.
	p.voters["b"].HandleRelease(b, 34*s/20)
	if g, _ := p.voters["b"].HandleRequest(Request{"list", 9, "c", 1, 0}, 34*s/20); g.Granted {
		t.Fatal("an old release ended a newer lease")
	}
	// Leaving in order gives the lease back at once.
	if _, ok := p.duties["a"].Release(true, 35*s/20); !ok || p.duties["a"].Holds(35*s/20) {
		t.Fatal("a leaving node keeps the duty")
	}
}

// A grant rests on the disk, also where an earlier write of it is pending.
func TestGrantsAreOnDisk(t *testing.T) {
	v := NewVoter("v", s, nil, 0, true, 0)
	b := Request{"list", 1, "a", 1, 0}
	g, write := v.HandleRequest(b, s)
	if !g.Granted || write == 0 {
		t.Fatal("a grant is answered before it is on disk")
	}
	if _, again := v.HandleRequest(b, s); again == 0 {
		t.Fatal("a renewal is answered while the grant is not on disk")
	}
	v.MarkDurable(write - 1)
	if _, again := v.HandleRequest(b, s); again == 0 {
		t.Fatal("an earlier write counts for a later one")
	}
	v.MarkDurable(write)
	if g, again := v.HandleRequest(b, s); !g.Granted || again != 0 {
		t.Fatal("a renewal needs the disk")
	}
	// Its next life forgets the leases, not the records.
	records, _ := v.Records()
	v = NewVoter("v", s, records, 0, true, 0)
	if g, _ := v.HandleRequest(Request{"list", 2, "b", 1, 0}, s-1); g.Granted {
		t.Fatal("a voter that just started grants another holder")
	}
	if g, _ := v.HandleRequest(Request{"list", 2, "a", 2, 0}, s-1); !g.Granted {
		t.Fatal("the holder's next life waits")
	}
	if g, _ := v.HandleRequest(Request{"list", 3, "a", 1, 0}, s-1); g.Granted {
		t.Fatal("an earlier life is granted an epoch")
	}
	if g, _ := v.HandleRequest(Request{"list", 3, "b", 1, 0}, 2*s); !g.Granted {
		t.Fatal("a lease has no end")
	}
	if g, _ := v.HandleRequest(Request{"list", 3, "c", 1, 0}, 9*s); g.Granted {
		t.Fatal("an epoch is granted twice")
	}
}

func TestOtherVoters(t *testing.T) {
	v := NewVoter("v", s, nil, 0, true, 0)
	v.HandleRequest(Request{"list", 7, "a", 1, 0}, s)
	v.SetReconfigurationPending(true)
	if g, _ := v.HandleRequest(Request{"list", 7, "a", 1, 0}, s); g.Granted {
		t.Fatal("renewed while other voters may be in force")
	}
	v.SetReconfigurationPending(false)
	v.SetVoters(3, true, true, s)
	if g, _ := v.HandleRequest(Request{"list", 8, "a", 1, 0}, s); g.Granted || g.VotersSlot != 3 {
		t.Fatal("a bid to earlier voters is granted")
	}
	if g, _ := v.HandleRequest(Request{"list", 8, "a", 1, 3}, s); g.Granted {
		t.Fatal("an epoch of earlier voters is granted")
	}
	if g, _ := v.HandleRequest(Request{"list", firstEpoch(3), "b", 1, 3}, s); g.Granted {
		t.Fatal("the lease of another ended with the earlier voters")
	}
	if g, _ := v.HandleRequest(Request{"list", firstEpoch(3), "a", 1, 3}, s); !g.Granted {
		t.Fatal("the holder gets no epoch of the new voters")
	}
	// A new voter, and one that may have been out, grant nothing for a lease.
	for _, v := range []*Voter{NewVoter("w", s, nil, 2, false, 0), NewVoter("w", s, nil, 2, true, 0)} {
		v.SetVoters(5, true, false, 4*s)
		if g, _ := v.HandleRequest(Request{"list", firstEpoch(5), "a", 1, 5}, 5*s-1); g.Granted {
			t.Fatal("a new voter grants at once")
		}
		if g, _ := v.HandleRequest(Request{"list", firstEpoch(5), "a", 1, 5}, 5*s); !g.Granted {
			t.Fatal("a new voter grants nothing")
		}
	}
	d := NewCandidate("list", "a", s, 0)
	d.SetIncarnation(1)
	d.SetVoters(0, []string{"a"})
	b, _ := d.NextRequest(1)
	d.OnResponse(b, Response{Voter: "a", Granted: true}, 1, 1)
	if !d.Holds(1) {
		t.Fatal("a lone voter is no majority")
	}
	d.SetVoters(4, []string{"a"})
	if b, _ := d.NextRequest(2); d.Holds(2) || b.Epoch != firstEpoch(4) {
		t.Fatal("a lease outlives the set of voters")
	}
}

// A first node that nobody grants anything lets the next one try.
func TestInVain(t *testing.T) {
	p := newPlace(t, "a", "b", "c")
	now := s / 10
	for ; now < 9*s && !p.duties["b"].Holds(now); now += s / 5 {
		p.hear(now, "a", "b", "c")
		p.bid(now, "a")
		p.bid(now, "b", "a", "b", "c")
	}
	if now > 5*s {
		t.Fatalf("nobody has the duty at %v", now)
	}
	if p.duties["a"].Eligible(now) {
		t.Fatal("it calls itself fit")
	}
	for end := now + 3*s; now < end; now += s / 5 {
		p.hear(now, "a", "b", "c")
		if _, ok := p.duties["b"].Release(false, now); ok {
			return
		}
	}
	t.Fatal("it never comes back")
}

func TestWithoutVote(t *testing.T) {
	d := NewCandidate("list", "x", s, 0)
	d.SetIncarnation(1)
	if _, ok := d.NextRequest(9 * s); ok {
		t.Fatal("a node bids without an order")
	}
	d.SetVoters(1, []string{"a", "b"})
	d.OnHeartbeat("a", false, 9*s)
	d.OnHeartbeat("b", false, 9*s)
	if _, ok := d.NextRequest(9 * s); ok {
		t.Fatal("a node outside the order bids")
	}
	d.SetVoters(2, []string{"x"})
	d.SetIncarnation(0)
	if _, ok := d.NextRequest(9 * s); ok {
		t.Fatal("a life that is not on disk is named in a bid")
	}
	if d.SilentFor("c", 9*s) != 9*s {
		t.Fatal("a node never heard is not silent from the start")
	}
}
