package lodge

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/relay"
)

// What huts tell the fronts that watch them.

type frontSeen struct {
	at time.Duration
	// until is when it must have been heard again.
	until time.Duration
	slot  int64
	ip    string
	zone  string
	// ready: other fronts may ask it.
	ready bool
	// out is how many searchers have fallen silent for it.
	out int
	// first: it watches this hut before others. larder: it serves no clients.
	first, larder bool
	// rolled is the slot up to which it knows the rollouts.
	rolled int64
}

// knownFront is a front that this hut or another heard at a time.
type knownFront struct {
	at   time.Duration
	zone string
}

type rollSeen struct {
	roll
	asking bool
}

// handleWatch waits for news that the asker lacks, at most for a heartbeat.
func (h *hut) handleWatch(m watchAsk) watchSay {
	hold := max(h.n.heartbeat(0.2), min(h.n.longHold(), time.Duration(m.HoldMs)*time.Millisecond))
	until := time.NewTimer(hold)
	defer until.Stop()
	for late := false; ; {
		var say watchSay
		var changed chan struct{}
		news := false
		h.desk.ask(func() {
			h.seen(m, h.n.steady()+hold)
			say, news = h.say(m)
			changed = h.changed
		})
		if m.Hello {
			return say
		}
		if news && m.Brief && !late {
			// Whoever is watched first brings it sooner; what follows goes along.
			select {
			case <-time.After(h.n.heartbeat(0.1)):
			case <-h.n.stop:
			}
			late = true
			continue
		}
		if news || late || h.n.leaving.Load() {
			return say
		}
		select {
		case <-changed:
		case <-until.C:
			late = true
		case <-h.n.stop:
			return say
		}
	}
}

// seen notes a node that watches; it runs on the desk.
func (h *hut) seen(m watchAsk, until time.Duration) {
	h.fronts[m.Name] = frontSeen{h.n.steady(), until + h.n.heartbeat(1), m.Slot, m.IP, m.Zone, m.Ready, m.Out, m.First, m.Larder, m.Rolled}
}

// say tells a watcher what it lacks; it runs on the desk.
func (h *hut) say(m watchAsk) (say watchSay, news bool) {
	now := h.n.steady()
	s := h.acc.State
	say = watchSay{Zone: h.n.set().Zone, Slot: s.Slot, Version: s.Version, Fronts: h.countFronts(now), Purge: s.PurgeSeq, Floor: s.PurgeFloor()}
	say.Around, say.Here = h.around(m.Zone)
	say.Lone = h.lone(now)
	if m.Roster || m.Hello || s.Slot > m.Slot {
		for _, v := range s.Voters {
			say.Huts = append(say.Huts, hutAt{v.IP, h.zoneOf(v.IP)})
		}
		say.Larders = s.Larders
	}
	if m.Roster {
		say.Roster = h.roster(now, m.Zone)
	}
	if say.RolledTo = s.Slot; !m.Hello && s.Slot > m.Rolled {
		say.Rollouts = s.RolloutsAfter(m.Rolled)
		news = len(say.Rollouts) > 0
	}
	if m.Purge >= 0 {
		say.Purges = s.PurgesAfter(m.Purge)
	}
	if say.Heard = h.gossip.seq; m.First && !m.Hello && m.Heard != say.Heard {
		say.Dark = h.gossip.tell(now, h.n.heartbeat(2))
		news = news || len(say.Dark) > 0
	}
	if h.table != nil {
		say.Stamp = h.table.Stamp
		if m.Stamp.Before(h.table.Stamp) {
			news = true
			if !m.Brief && !m.Hello {
				say.Delta = h.delta(m.Stamp)
			}
		}
	}
	return say, news || s.Slot > m.Slot && s.Version > 0
}

func (h *hut) zoneOf(ip string) string {
	if ip == h.n.set().IpAddress {
		return h.n.set().Zone
	}
	return h.others[ip].zone
}

// roll lists the fronts that watch this hut first; it runs on the desk.
func (h *hut) roll() roll {
	now := h.n.steady()
	r := roll{}
	for name, f := range h.fronts {
		if f.first && now < f.until {
			r.Fronts = append(r.Fronts, relay.Front{Name: name, IP: f.ip, Zone: f.zone, Out: !f.ready, Keeps: f.larder})
		}
	}
	slices.SortFunc(r.Fronts, func(a, b relay.Front) int { return strings.Compare(a.Name, b.Name) })
	if !slices.Equal(r.Fronts, h.rolled) {
		h.rolled = slices.Clone(r.Fronts)
		h.rollN++
	}
	// Another life of this hut must not be taken for this one.
	r.Roll = h.born + h.rollN
	return r
}

// askRoll brings the roll of another hut.
func (h *hut) askRoll(ip string) {
	var r roll
	err := h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathRoll, struct{}{}, &r, h.n.heartbeat(0.8))
	h.desk.post(func() {
		if err != nil {
			r = h.rolls[ip].roll
		}
		h.rolls[ip] = rollSeen{roll: r}
	})
}

// rosterMost is how many fronts of a zone one front is told of.
const rosterMost = 4

// roster lists some fronts of every other zone that are ready; it runs on the desk.
func (h *hut) roster(now time.Duration, but string) []relay.Front {
	all := h.roll().Fronts
	for ip, r := range h.rolls {
		if now-h.others[ip].at < config.Milliseconds(h.n.set().Bounds.InTouchMs, 1) {
			all = append(all, r.Fronts...)
		}
	}
	count := map[string]int{}
	seen := map[string]bool{}
	out := []relay.Front{}
	for _, i := range rand.Perm(len(all)) {
		f := all[i]
		if !f.Out && !f.Keeps && f.Zone != but && !seen[f.Name] && count[f.Zone] < rosterMost {
			count[f.Zone]++
			seen[f.Name] = true
			out = append(out, f)
		}
	}
	return out
}

// silence tells whether fronts heard lately miss searchers; it runs on the desk.
func (h *hut) silence() bool {
	now := h.n.steady()
	for _, f := range h.fronts {
		if f.out > 0 && now < f.until {
			return true
		}
	}
	return false
}

// few fronts are counted anew for each that asks.
const few = 32

// countFronts counts the fronts that this hut or another heard within the
// window of the retry budget. A hut that just started goes by what it counted
// in its life before: after a loss of everything the fronts must not think
// that each of them is alone. It runs on the desk.
func (h *hut) countFronts(now time.Duration) int {
	window := config.Seconds(h.n.set().Bounds.RetryWindowS, 1)
	if h.countedAt > 0 && now-h.countedAt < h.n.heartbeat(0.1) && len(h.fronts) > few {
		// Many ask at once, and each would count them all.
		return h.counted
	}
	h.countedAt = now
	for name, f := range h.fronts {
		if !f.larder {
			h.known[name] = knownFront{f.at, f.zone}
		}
		if now-f.at > window {
			delete(h.fronts, name)
		}
	}
	for ip, r := range h.rolls {
		for _, f := range r.Fronts {
			if f.Keeps {
				continue
			}
			if at := h.others[ip].at; at > h.known[f.Name].at {
				h.known[f.Name] = knownFront{at, f.Zone}
			}
		}
	}
	for name, k := range h.known {
		if now-k.at > window {
			delete(h.known, name)
		}
	}
	n := len(h.known)
	if now < window {
		n = max(n, h.before)
	}
	if n != h.counted {
		h.counted, h.frontsKept = n, n
		h.record(recFronts, n, nil)
	}
	return n
}

// around counts the known fronts in a zone and in its region; it runs on the desk.
func (h *hut) around(zone string) (region, here int) {
	zones := h.n.set().Zones
	for _, k := range h.known {
		if zones[k.zone] == zones[zone] {
			region++
		}
		if k.zone == zone {
			here++
		}
	}
	return region, here
}

// held waits until every front that was heard lately holds slot, at most for the time given.
func (h *hut) held(slot int64, within time.Duration) {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		missing := false
		h.desk.ask(func() {
			now := h.n.steady()
			for _, f := range h.fronts {
				if f.slot < slot && now < f.until {
					missing = true
				}
			}
		})
		if !missing {
			return
		}
		time.Sleep(within / 25)
	}
}

// packedVersion is an answer that is the same for all who hold one version.
type packedVersion struct {
	say  versionSay
	body []byte
}

// version gives the newest configuration, or the difference to the one held; it runs on the desk.
func (h *hut) version(m versionAsk) (versionSay, []byte) {
	p, ok := h.packed[m.Version]
	if !ok {
		raw := []byte(h.acc.State.Body)
		for _, b := range h.bodies {
			if b.Version != m.Version {
				continue
			}
			if d, ok := config.Diff([]byte(b.Body), raw); ok {
				p.say.From, p.say.Gone, raw = m.Version, d.Removed, d.Changes
			}
		}
		p.body = pack(raw)
		if len(h.packed) < 2*bodiesKept {
			h.packed[m.Version] = p
		}
	}
	p.say.Slot, p.say.Version, p.say.AgeMs = h.acc.State.Slot, h.acc.State.Version, (h.n.steady() - h.learned).Milliseconds()
	return p.say, p.body
}
