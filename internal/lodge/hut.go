package lodge

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/handoff"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
	"swiftswitch/internal/transport"
)

// hut is the part of a node with a disk. Its tables belong to one desk.
type hut struct {
	n      *Node
	cellar *storage.Store
	desk   *desk

	// Owned by the desk.
	acc     consensus.Keeper
	learned time.Duration
	// highest is the highest number of a ballot that was seen.
	highest int64
	// packedValue is the body of the accepted value, as it came.
	packedValue []byte
	// put is what was last given to the disk; keeping wait until all is there.
	put     struct{ version, takenSeq int64 }
	keeping []keepWait
	// told holds news for those behind, by the slot they are at.
	told  map[int64]*news
	table *endpoints.Table
	// bodies holds the last few configurations, packed what was made of them
	// for who holds which of them.
	bodies []bodyRecord
	packed map[int64]packedVersion
	// past holds the last few tables, to tell what changed since them.
	past   []*endpoints.Table
	deltas map[endpoints.Stamp][]byte
	// voter grants leases on duties; duty is this node's part in the one there is.
	voter *lease.Voter
	duty  *lease.Candidate
	// acting is the epoch under which this node has the duty, 0: it has not;
	// unfit: it could not have it.
	acting int64
	unfit  bool
	// asked holds the voters that a bid is under way to, tables what they held by address.
	asked  map[string]bool
	tables map[string]tableAt
	// taken and released wake the duty's controllers.
	taken, released chan struct{}
	depot           *handoff.Tracker
	watch           *membership.FailureDetector
	fronts          map[string]frontSeen
	// counted is how many fronts there are, before what an earlier life counted.
	counted, before int
	countedAt       time.Duration
	// frontsKept is the count on disk.
	frontsKept int
	others     map[string]hutSeen
	changed    chan struct{}
	// rollN numbers the states of the roll of nodes that watch this hut
	// first; rolls holds those of the other huts.
	rollN  int64
	rolled []relay.Front
	rolls  map[string]rollSeen
	// keepers are the larders, and when they were last heard.
	keepers map[string]time.Duration
	purges  chan *purgeWait
	gossip  gossip
	course  course
	// spreading: what is new in gossip goes out in a moment.
	spreading bool
	// known are the fronts that this hut or another heard, and when.
	known map[string]knownFront

	// born tells one life of this node from another; life numbers them: it was
	// raised on disk before anything else was done in this one.
	born, life int64

	// proposing lets one proposal of this node run at a time.
	proposing turns
	// orders counts the operator's orders under way; closing: none is taken any more.
	orders  atomic.Int64
	closing atomic.Bool
}

// bodiesKept is how many versions back a hut can tell the difference, as long
// as they take no more than a message may.
const bodiesKept = 8

func newHut(n *Node) (*hut, error) {
	s := n.set()
	slow, again := config.Milliseconds(s.Bounds.AcknowledgeMs, 0.1), config.Milliseconds(s.Bounds.AcknowledgeMs, 0.04)
	cel, err := storage.Open(s.DataDirectory, slow, again)
	until := time.Now().Add(config.Milliseconds(s.Bounds.AcknowledgeMs, 2))
	for err != nil && time.Now().Before(until) {
		// A disk in trouble often comes back; ending and starting anew would be no better.
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(again)
		cel, err = storage.Open(s.DataDirectory, slow, again)
	}
	if err != nil {
		return nil, err
	}
	h := &hut{n: n, cellar: cel, desk: newDesk(), depot: handoff.NewTracker(), fronts: map[string]frontSeen{}, others: map[string]hutSeen{}, changed: make(chan struct{}), rolls: map[string]rollSeen{}, known: map[string]knownFront{}, keepers: map[string]time.Duration{}, purges: make(chan *purgeWait, 1024), packed: map[int64]packedVersion{}, told: map[int64]*news{}, deltas: map[endpoints.Stamp][]byte{}, gossip: gossip{said: map[int64]map[string]time.Duration{}, dark: map[int64]time.Duration{}},
		asked: map[string]bool{}, tables: map[string]tableAt{}, taken: make(chan struct{}, 1), released: make(chan struct{}, 1)}
	leases := map[string]lease.Record{}
	var id string
	var terms rollout.Noted
	err = load(cel, map[string]any{recTerms: &terms, recIdentity: &id, recLeases: &leases, recTable: &h.table, recFronts: &h.before, recLife: &h.life})
	if err != nil {
		return nil, err
	}
	st, ballots, packed, err := loadState(cel, n.maxMessage())
	if err != nil {
		return nil, err
	}
	h.put.version, h.put.takenSeq = st.Version, st.TakenSeq
	h.life++
	records := map[string][]byte{recLife: encode(recLife, h.life)}
	if id == "" {
		if s.FirstStart && !cel.Quarantined() {
			ips := s.SeedIPs()
			slices.Sort(ips)
			id, st = consensus.GenesisID(s.IpAddress), consensus.Genesis(ips)
			events.Log(events.ClusterBootstrapped, "voters", strings.Join(ips, ","))
		} else {
			// What was promised under an identity in a store that was set aside may be forgotten.
			id = "later-" + s.IpAddress + "-" + randomName()
			events.Log(events.IdentityCreated, "id", id)
		}
		maps.Copy(records, stateRecords(st, -1, 0))
		records[recIdentity] = encode(recIdentity, id)
	}
	if err := writeFirst(cel.PutAll, records, until, again); err != nil {
		cel.Close(again)
		return nil, err
	}
	h.acc.ID = id
	h.acc.Restore(st, ballots)
	h.packedValue, h.highest = packed, h.acc.Promised.N
	h.born = rand.Int64N(1<<40) << 10
	h.gossip.seq = h.born
	h.watch, h.frontsKept = membership.NewFailureDetector(n.heartbeat(1), n.steady()), h.before
	h.unfit = true // until it has heard a majority
	leaseDuration := n.heartbeat(1.25)
	h.voter = lease.NewVoter(id, leaseDuration, leases, h.acc.State.VotersSlot, h.acc.State.Votes(id), n.steady())
	h.duty = lease.NewCandidate(dutyList, id, leaseDuration, n.steady())
	h.duty.SetIncarnation(h.life)
	h.duty.ObserveEpoch(leases[dutyList].Epoch, leases[dutyList].Holder)
	if h.table != nil {
		h.duty.ObserveEpoch(h.table.Stamp.Epoch, h.table.Stamp.By)
	}
	h.setOrder()
	h.course = newCourse(terms, n.steady())
	h.follow()
	return h, nil
}

// writeFirst waits until the records are on disk; a write that failed is tried
// again, as the opening is, while there is time.
func writeFirst(put func(map[string][]byte, func(error)), records map[string][]byte, until time.Time, again time.Duration) error {
	wait := make(chan error, 1)
	for {
		put(records, func(err error) { wait <- err })
		err := <-wait
		if err == nil || !time.Now().Before(until) {
			return err
		}
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(again)
	}
}

func encode(name string, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		events.Log(events.InvariantViolated, "record", name, "err", err)
		panic(err)
	}
	return b
}

// record writes one record.
func (h *hut) record(name string, v any, then func(error)) { h.cellar.Put(name, encode(name, v), then) }

func (h *hut) start() {
	go h.beatLoop()
	go h.leaseLoop()
	go h.pollLoop()
	go h.joinLoop()
	go h.finishLoop()
	go h.purgeLoop()
	go h.rolloutLoop()
}

// setOrder follows the voters; it runs on the desk.
func (h *hut) setOrder() {
	var ids []string
	for _, v := range h.acc.State.Voters {
		ids = append(ids, v.ID)
	}
	slices.Sort(ids)
	h.watch.SetVoters(ids, h.n.steady())
	h.duty.SetVoters(h.acc.State.VotersSlot, ids)
}

// announce wakes everybody who waits for news; it runs on the desk.
func (h *hut) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// learn takes decided state; it runs on the desk.
func (h *hut) learn(s consensus.State, how string) {
	old := h.acc.State
	if !h.acc.Learn(s) {
		return
	}
	if s.Version != old.Version {
		h.learned = h.n.steady()
	}
	h.setOrder()
	h.voter.SetVoters(s.VotersSlot, s.Votes(h.acc.ID), s.VotersSlot == old.Slot+1, h.n.steady())
	h.follow()
	h.keepState()
	h.packedValue = nil
	clear(h.told)
	if s.Version != old.Version {
		clear(h.packed)
		if old.Version > 0 {
			h.bodies = append(h.bodies, bodyRecord{old.Version, old.Body})
			size := 0
			for _, b := range h.bodies {
				size += len(b.Body)
			}
			for len(h.bodies) > bodiesKept || size > h.n.maxMessage() {
				size -= len(h.bodies[0].Body)
				h.bodies = h.bodies[1:]
			}
		}
		events.Log(events.ConfigChosen, "slot", s.Slot, "version", s.Version, "how", how)
	}
	if len(s.Voters) != len(old.Voters) || !slices.Equal(s.Voters, old.Voters) {
		var l []string
		for _, v := range s.Voters {
			l = append(l, v.ID)
		}
		events.Log(events.VotersChosen, "slot", s.Slot, "voters", strings.Join(l, ","), "how", how)
	}
	h.announce()
}

func (h *hut) state() (s consensus.State) {
	h.desk.ask(func() { s = h.acc.State })
	return s
}

// knows tells whether this node has any state to settle calls with.
func (h *hut) knows() bool { return len(h.state().Voters) > 0 }

func (h *hut) voterIPs() []string {
	var out []string
	for _, v := range h.state().Voters {
		out = append(out, v.IP)
	}
	return out
}

// handle takes a call of another node and tells whether it was one of a hut's.
func (h *hut) handle(c *app.RequestContext) bool {
	switch string(c.Request.URI().PathOriginal()) {
	case pathCairn:
		var m cairnAsk
		if transport.ReadJSON(c, &m) {
			if say, err := h.vote(m); err != nil {
				transport.WriteJSON(c, 503, map[string]string{"Error": err.Error()})
			} else {
				transport.WriteJSON(c, 200, say)
			}
		}
	case pathLearn:
		var m learnAsk
		if transport.ReadJSON(c, &m) {
			h.handleLearn(c, m)
		}
	case pathState:
		var m stateAsk
		if transport.ReadJSON(c, &m) {
			var say *news
			h.desk.ask(func() { say = h.news(min(m.Slot, h.acc.State.Slot)) })
			transport.WriteJSON(c, 200, say)
		}
	case pathVersion:
		var m versionAsk
		if transport.ReadJSON(c, &m) {
			var say versionSay
			var body []byte
			h.desk.ask(func() { say, body = h.version(m) })
			c.SetStatusCode(200)
			c.Response.Header.Set(headerVersion, string(encode("version", say)))
			c.Response.Header.SetContentType("application/json")
			c.Response.Header.SetContentEncoding("gzip")
			c.Response.SetBodyRaw(body)
		}
	case pathPeek:
		var say peekSay
		h.desk.ask(func() { say = peekSay{h.acc.ID, h.acc.State.Slot, h.acc.Value != nil} })
		transport.WriteJSON(c, 200, say)
	case pathBeat:
		var m beat
		if transport.ReadJSON(c, &m) {
			h.desk.ask(func() {
				h.hear(m)
				granted := h.renew(m)
				m = h.beat()
				m.Granted = granted
			})
			transport.WriteJSON(c, 200, m)
		}
	case pathTable:
		var m tableAsk
		if !transport.ReadJSON(c, &m) {
			return true
		}
		d, err := unpackDelta(m.Delta, h.n.maxMessage())
		if err != nil {
			events.Log(events.MessageRejected, "path", pathTable, "from", c.RemoteAddr(), "err", err)
			transport.WriteJSON(c, 400, map[string]string{"Error": err.Error()})
			return true
		}
		var say tableSay
		h.desk.ask(func() { say.Stamp = h.takeDelta(d) })
		transport.WriteJSON(c, 200, say)
	case pathFetch:
		var m fetchAsk
		if transport.ReadJSON(c, &m) {
			var say fetchSay
			h.desk.ask(func() {
				if h.table != nil {
					say.Delta = h.delta(m.Stamp)
				}
			})
			transport.WriteJSON(c, 200, say)
		}
	case pathBid:
		var m bidAsk
		if transport.ReadJSON(c, &m) {
			if say, err := h.handleBid(m); err != nil {
				transport.WriteJSON(c, 503, map[string]string{"Error": err.Error()})
			} else {
				transport.WriteJSON(c, 200, say)
			}
		}
	case pathHearsay:
		var m hearsay
		if transport.ReadJSON(c, &m) {
			h.desk.ask(func() { h.handleHearsay(m) })
			transport.WriteJSON(c, 200, struct{}{})
		}
	case pathEnlist:
		var l consensus.Larder
		if !transport.ReadJSON(c, &l) {
			return true
		}
		if h.handleEnlist(l) {
			transport.WriteJSON(c, 200, struct{}{})
		} else {
			transport.WriteJSON(c, 503, map[string]string{"Error": "not agreed"})
		}
	case pathTally:
		var m tally
		if transport.ReadJSON(c, &m) {
			h.desk.ask(func() { h.takeTally(m) })
			transport.WriteJSON(c, 200, struct{}{})
		}
	case pathLedger:
		var m ledger
		if transport.ReadJSON(c, &m) {
			h.desk.ask(func() { h.takeLedger(m) })
			transport.WriteJSON(c, 200, struct{}{})
		}
	case pathRoll:
		var r roll
		h.desk.ask(func() { r = h.roll() })
		transport.WriteJSON(c, 200, r)
	case pathSilent:
		transport.WriteJSON(c, 200, h.sayMembers())
	case pathKeep:
		if held, err := h.keep(); err != nil {
			transport.WriteJSON(c, 503, map[string]string{"Error": err.Error()})
		} else {
			transport.WriteJSON(c, 200, held)
		}
	case pathJoin:
		var m joinAsk
		if transport.ReadJSON(c, &m) {
			transport.WriteJSON(c, 200, h.handleJoin(m))
		}
	case pathWatch:
		var m watchAsk
		if transport.ReadJSON(c, &m) {
			transport.WriteJSON(c, 200, h.handleWatch(m))
		}
	default:
		return false
	}
	return true
}
