package control

import (
	"slices"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
)

// PollerRole is the singleton role of the node that polls the platform's
// discovery API. The name stands in lease records and messages.
const PollerRole = "list"

// Periods of the lease in heartbeat intervals.
const (
	// leaseDurationHeartbeats is how long a granted lease lasts.
	leaseDurationHeartbeats = 1.25
	// leaseCheckHeartbeats is how often a node checks whether it is the one to
	// campaign, and leaseCampaignHeartbeats how often while it campaigns in vain.
	leaseCheckHeartbeats    = 0.2
	leaseCampaignHeartbeats = 0.1
	// leaseCallHeartbeats bounds one lease request, and the write that its
	// answer waits for.
	leaseCallHeartbeats = 0.8
)

// leaseController takes part in the lease of the poller role: as a candidate
// it campaigns for the lease and renews it, as a voter it grants it to others.
// The epoch of a lease is the fencing token of everything done under it.
//
// All fields below loop are owned by loop; methods that need it say so.
type leaseController struct {
	host     *host.Host
	store    *storage.Store
	acceptor *consensus.DurableAcceptor
	tables   *tableController
	loop     *commandloop.Loop

	// Candidate is this node's campaign for the lease.
	*lease.Candidate
	// voter grants the lease. What it granted is on disk before the grant leaves.
	voter *lease.Voter
	// actingEpoch is the epoch under which this node holds the lease, or 0.
	actingEpoch int64
	// ineligible: this node can't have the role, because it hears no majority
	// of the voters or campaigned in vain.
	ineligible bool
	// inFlight holds the IDs of the voters that a request is under way to.
	inFlight map[string]bool
	// grantorTables holds, by voter address, the endpoint table that a voter
	// held when it answered a request.
	grantorTables map[string]grantorTable

	// acquired wakes the discovery poller when the lease is acquired, and
	// released the campaign when another node released the lease. Both have
	// room for one signal; further ones are dropped.
	acquired chan struct{}
	released chan struct{}
}

// grantorTable is the endpoint table that a voter held when it granted an epoch.
type grantorTable struct {
	voterID string
	epoch   int64
	stamp   endpoints.Stamp
}

// newLeaseController makes the candidate and the voter from the state and the
// leases that were on disk. The server's acceptor must have been restored and
// its tables and incarnation be set.
func newLeaseController(s *Server, granted map[string]lease.Record) *leaseController {
	id, now := s.acceptor.ID, s.host.Now()
	state := s.acceptor.State
	duration := s.host.Heartbeats(leaseDurationHeartbeats)
	l := &leaseController{
		host:          s.host,
		store:         s.store,
		acceptor:      &s.acceptor,
		tables:        s.tables,
		loop:          s.loop,
		Candidate:     lease.NewCandidate(PollerRole, id, duration, now),
		voter:         lease.NewVoter(id, duration, granted, state.VotersSlot, state.IsVoter(id), now),
		ineligible:    true, // until this node has heard a majority
		inFlight:      map[string]bool{},
		grantorTables: map[string]grantorTable{},
		acquired:      make(chan struct{}, 1),
		released:      make(chan struct{}, 1),
	}
	l.SetIncarnation(s.incarnation)
	l.ObserveEpoch(granted[PollerRole].Epoch, granted[PollerRole].Holder)
	if stamp := s.tables.stamp(); stamp != (endpoints.Stamp{}) {
		l.ObserveEpoch(stamp.Epoch, stamp.Holder)
	}
	return l
}

// leaseStep is what one pass of the campaign found to be done.
type leaseStep struct {
	// release is to be given back to the voters where releases is set.
	release  lease.Request
	releases bool
	// request is to be sent to the voters where campaigns is set.
	request   lease.Request
	campaigns bool
	voters    []consensus.Voter
	holds     bool
}

// run campaigns for the lease while this node is the preferred holder and
// releases it while another is. Renewals go along with the heartbeats.
func (l *leaseController) run() {
	for {
		var step leaseStep
		l.loop.Call(func() { step = l.nextStep(l.host.Now()) })
		if step.releases {
			l.sendRelease(step.release)
		}
		for _, v := range step.voters {
			go l.sendRequest(step.request, v)
		}
		wait := l.host.Heartbeats(leaseCheckHeartbeats)
		if step.campaigns && !step.holds {
			wait = l.host.Heartbeats(leaseCampaignHeartbeats)
		}
		select {
		case <-l.host.Stopping:
			return
		case <-time.After(wait):
		case <-l.released:
		}
	}
}

// nextStep decides what the campaign does now. A draining node does nothing: it
// resigned. It runs on loop.
func (l *leaseController) nextStep(now time.Duration) (step leaseStep) {
	if l.host.Draining.Load() {
		return leaseStep{}
	}
	step.release, step.releases = l.YieldToPreferred(now)
	step.request, step.campaigns = l.NextRequest(now)
	if step.campaigns {
		step.voters = l.votersToRequest(now)
	}
	l.noteTransition(now)
	step.holds = l.Holds(now)
	return step
}

// votersToRequest lists the voters to send a request of its own: those whose
// grant was not renewed by a heartbeat. It runs on loop.
func (l *leaseController) votersToRequest(now time.Duration) (voters []consensus.Voter) {
	for _, v := range l.acceptor.State.Voters {
		if l.inFlight[v.ID] || !l.NeedsGrantFrom(v.ID, now) {
			continue
		}
		// A holder has its majority and does without the voters that are silent.
		if l.Holds(now) && !l.Alive(v.ID, now) {
			continue
		}
		l.inFlight[v.ID] = true
		voters = append(voters, v)
	}
	return voters
}

// sendRequest asks one voter for the lease.
func (l *leaseController) sendRequest(request lease.Request, voter consensus.Voter) {
	sent := l.host.Now()
	response, err := l.call(nodeapi.LeaseRequest{Request: request}, voter.IP)
	l.loop.Submit(func() {
		delete(l.inFlight, voter.ID)
		if err != nil {
			return
		}
		l.grantorTables[voter.IP] = grantorTable{voterID: response.Grant.Voter, epoch: request.Epoch, stamp: response.Stamp}
		now := l.host.Now()
		l.OnResponse(request, response.Grant, sent, now)
		l.noteTransition(now)
	})
}

// call sends a lease request or release to the voter at an address, which may
// be this node.
func (l *leaseController) call(m nodeapi.LeaseRequest, ip string) (response nodeapi.LeaseResponse, err error) {
	settings := l.host.Settings()
	if ip == settings.IpAddress {
		return l.handleRequest(m)
	}
	err = l.host.Client.CallJSON(settings.InternalAddress(ip), nodeapi.PathLease, m, &response, l.host.Heartbeats(leaseCallHeartbeats))
	return response, err
}

// noteTransition logs that this node acquired or lost the lease, or became
// eligible or ineligible, and wakes the poller on an acquired lease. It runs on loop.
func (l *leaseController) noteTransition(now time.Duration) {
	epoch, holds := l.FencingToken(now)
	switch {
	case holds && epoch != l.actingEpoch:
		events.Log(events.LeaseAcquired, "epoch", epoch)
		l.actingEpoch = epoch
		signal(l.acquired)
	case !holds && l.actingEpoch != 0:
		events.Log(events.LeaseEnded, "epoch", l.actingEpoch, "known", l.ObservedEpoch, "holder", l.ObservedHolder)
		l.actingEpoch = 0
	}
	ineligible := !l.Eligible(now)
	if ineligible && !l.ineligible {
		events.Log(events.LeaseCandidacySuspended)
	}
	l.ineligible = ineligible
}

// holdsEpoch reports whether this node holds the lease under an epoch now. It must
// not be called on loop.
func (l *leaseController) holdsEpoch(epoch int64) (holds bool) {
	l.loop.Call(func() {
		held, ok := l.FencingToken(l.host.Now())
		holds = ok && held == epoch
	})
	return holds
}

// signal leaves a signal in a channel with room for one, unless one is there.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendRelease tells all voters that a lease ends before it expires.
func (l *leaseController) sendRelease(request lease.Request) {
	var voters []consensus.Voter
	l.loop.Call(func() { voters = l.acceptor.State.Voters })
	m := nodeapi.LeaseRequest{Request: request, Release: true}
	for _, v := range voters {
		// A release that does not arrive costs time only: the lease expires.
		if v.IP == l.host.Settings().IpAddress {
			_, _ = l.handleRequest(m)
			continue
		}
		go func() { _, _ = l.call(m, v.IP) }()
	}
}

// handleRequest answers a request or a release as a voter. A grant is on disk
// before the answer leaves: a voter that restarts must not grant the same
// epoch to another node.
func (l *leaseController) handleRequest(m nodeapi.LeaseRequest) (response nodeapi.LeaseResponse, err error) {
	done := make(chan error, 1)
	l.loop.Call(func() {
		now := l.host.Now()
		if m.Release {
			l.voter.HandleRelease(m.Request, now)
			signal(l.released)
			done <- nil
			return
		}
		var write int64
		response.Grant, write = l.grant(m.Request, now)
		response.Stamp = l.tables.stamp()
		if write == 0 {
			done <- nil
			return
		}
		l.persistGrants(done)
	})
	err = awaitWrite(done, l.host.Heartbeats(leaseCallHeartbeats))
	return response, err
}

// persistGrants writes the granted leases and reports to done when they are on
// disk. It runs on loop.
func (l *leaseController) persistGrants(done chan<- error) {
	granted, write := l.voter.Records()
	records.LeasesRecord.Put(l.store, granted, func(err error) {
		if err == nil {
			l.loop.Submit(func() { l.voter.MarkDurable(write) })
		}
		done <- err
	})
}

// grant has the voter answer a request; write is not 0 where the answer rests
// on a record that is not on disk yet. While a change of the voters is accepted
// and not decided the voter grants no new epoch. It runs on loop.
func (l *leaseController) grant(request lease.Request, now time.Duration) (response lease.Response, write int64) {
	accepted := l.acceptor.AcceptedValue
	l.voter.SetReconfigurationPending(accepted != nil && len(accepted.Voters) > 0)
	return l.voter.HandleRequest(request, now)
}

// renewals returns the request that a holder renews, and the renewals that go
// along with its heartbeat; they are nil where this node does not hold the
// lease. The node's own voter renews at once. It runs on loop.
func (l *leaseController) renewals(now time.Duration) (request lease.Request, renewals map[string]nodeapi.LeaseRenewal) {
	if l.host.Draining.Load() {
		return lease.Request{}, nil
	}
	request, campaigns := l.NextRequest(now)
	if !campaigns || !l.Holds(now) {
		return request, nil
	}
	if response, write := l.grant(request, now); write == 0 {
		l.OnResponse(request, response, now, now)
	}
	return request, map[string]nodeapi.LeaseRenewal{
		request.Role: {Epoch: request.Epoch, Incarnation: request.Incarnation, VotersSlot: request.VotersSlot},
	}
}

// grantRenewals lists the roles whose renewal a heartbeat asked for and this
// voter grants without a write. The others must be requested. It runs on loop.
func (l *leaseController) grantRenewals(heartbeat nodeapi.Heartbeat) (roles []string) {
	for role, r := range heartbeat.Renewals {
		request := lease.Request{Role: role, Epoch: r.Epoch, Holder: heartbeat.ID, Incarnation: r.Incarnation, VotersSlot: r.VotersSlot}
		if response, write := l.grant(request, l.host.Now()); response.Granted && write == 0 {
			roles = append(roles, role)
		}
	}
	return roles
}

// onRenewals takes the answer to a heartbeat that carried a renewal and was
// sent at that time. It runs on loop.
func (l *leaseController) onRenewals(request lease.Request, answer nodeapi.Heartbeat, sent time.Duration) {
	if request.Epoch > 0 && slices.Contains(answer.GrantedRoles, request.Role) {
		l.OnResponse(request, lease.Response{Voter: answer.ID, Granted: true}, sent, l.host.Now())
	}
}

// resign gives the lease up for good, because this node drains.
func (l *leaseController) resign() {
	var request lease.Request
	releases := false
	l.loop.Call(func() { request, releases = l.Resign() })
	if releases {
		l.sendRelease(request)
	}
}

// newestGrantorTable returns the address and the table of the voter that held
// the newest table when it granted an epoch, of those that held a newer one
// than base. A voter that is not alive any more is left out: it could not be
// asked for the table. It runs on loop.
func (l *leaseController) newestGrantorTable(epoch int64, base endpoints.Stamp) (ip string, newest grantorTable) {
	newest.stamp = base
	for voterIP, t := range l.grantorTables {
		if t.epoch == epoch && newest.stamp.Before(t.stamp) && l.Alive(t.voterID, l.host.Now()) {
			ip, newest = voterIP, t
		}
	}
	return ip, newest
}
