package control

import (
	"errors"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/quota"
)

// errOvertaken answers a report of a front that sent a later one already.
var errOvertaken = errors.New("a later report was taken already")

// quotaController grants the fronts tokens of the tenants' quotas while this node
// holds the lease of the poller role. The epoch of the lease is that of the
// ledger: another epoch begins with an empty one.
type quotaController struct {
	host *host.Host
	// server's loop owns the lease and the decided state; its lock is held while a
	// configuration is parsed.
	server *Server
	// loop owns the fields below.
	loop   *commandloop.Loop
	ledger *quota.Ledger
	// limits holds the limits of the tenants of a version of the configuration.
	limits  map[string]quota.Limit
	version int64
}

func newQuotaController(s *Server) *quotaController {
	return &quotaController{host: s.host, server: s, loop: commandloop.New()}
}

// quotaLease is what of the server's state a report is answered by.
type quotaLease struct {
	epoch    int64
	holderIP string
	state    consensus.State
}

// holds reports whether this node may grant tokens.
func (l *quotaLease) holds() bool { return l.epoch > 0 && l.state.Version > 0 }

// lease returns what this node knows of the lease; the epoch is 0 if another node
// holds it.
func (q *quotaController) lease() (known quotaLease) {
	q.server.loop.Call(func() {
		epoch, holds := q.server.pollLease.FencingToken(q.host.Now())
		if holds && !q.host.Draining.Load() {
			known.epoch = epoch
		}
		known.state = q.server.acceptor.State
		known.holderIP = voterIP(known.state, q.server.pollLease.ObservedHolder)
	})
	return known
}

// voterIP returns the address of a voter, empty if there is none of this ID.
func voterIP(state consensus.State, id string) string {
	for _, voter := range state.Voters {
		if voter.ID == id {
			return voter.IP
		}
	}
	return ""
}

// run keeps the ledger and the limits in step with the lease and the configuration
// until the node stops, so that a ledger is as old as its lease.
func (q *quotaController) run() {
	for {
		if lease := q.lease(); lease.holds() {
			q.loop.Call(func() { q.follow(lease) })
		}
		select {
		case <-q.host.Stopping:
			return
		case <-time.After(q.host.Heartbeats(leaseCheckHeartbeats)):
		}
	}
}

// handleReport answers the report of a front.
func (q *quotaController) handleReport(report quota.Report) (answer quota.Answer, err error) {
	lease := q.lease()
	if !lease.holds() {
		return quota.Answer{Holder: lease.holderIP}, nil
	}
	q.loop.Call(func() {
		q.follow(lease)
		var taken bool
		answer, taken = q.ledger.Handle(report, q.limit, q.host.Now())
		if !taken {
			err = errOvertaken
		}
	})
	return answer, err
}

// follow takes the limits of the configuration in force, and begins a ledger for
// the epoch of the lease. It runs on loop.
func (q *quotaController) follow(lease quotaLease) {
	if q.ledger == nil || q.ledger.Epoch() < lease.epoch {
		q.ledger = quota.NewLedger(lease.epoch, q.host.QuotaBounds(), q.host.Now())
	}
	if q.version >= lease.state.Version {
		return
	}
	q.server.parsing.Lock()
	defer q.server.parsing.Unlock()
	configuration, err := config.DecodeConfiguration([]byte(lease.state.Body))
	if err != nil {
		events.Log(events.MessageRejected, "version", lease.state.Version, "err", err)
		return
	}
	q.version = lease.state.Version
	q.limits = make(map[string]quota.Limit, len(configuration.Tenants))
	for _, tenant := range configuration.Tenants {
		q.limits[tenant.Name] = quota.Limit{RequestsPerS: tenant.RequestsPerS, BurstSize: tenant.BurstSize}
	}
}

// limit returns the limit of a tenant. It runs on loop.
func (q *quotaController) limit(tenant string) (limit quota.Limit, known bool) {
	limit, known = q.limits[tenant]
	return limit, known
}

// QuotaStatus is what the holder of the lease knows of the fronts' shares.
type QuotaStatus struct {
	// Epoch is the epoch of the lease under which tokens were granted last.
	Epoch int64 `json:"Epoch"`
	// Fronts and Tenants count those that there are accounts of, Tokens what the
	// fronts have in stock.
	Fronts  int `json:"Fronts"`
	Tenants int `json:"Tenants"`
	Tokens  int `json:"Tokens"`
}

// status returns the state of the ledger, nil where this node kept none.
func (q *quotaController) status() (status *QuotaStatus) {
	q.loop.Call(func() {
		if q.ledger == nil {
			return
		}
		status = &QuotaStatus{Epoch: q.ledger.Epoch()}
		status.Fronts, status.Tenants, status.Tokens = q.ledger.Size()
	})
	return status
}
