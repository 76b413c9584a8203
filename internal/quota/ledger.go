package quota

import "time"

// Ledger holds the unspent tokens of all tenants under one epoch of the lease.
type Ledger struct {
	epoch  int64
	bounds Bounds
	// validity is for how long the stock of a silent front may be spent.
	validity  time.Duration
	startedAt time.Duration
	// unknownUntil is until when fronts may have stock of earlier holders.
	unknownUntil time.Duration
	pools        map[string]*pool
	fronts       map[string]*account
	sweptAt      time.Duration
}

// account is what one run of a front's process has in stock.
type account struct {
	incarnation, seq int64
	reportedAt       time.Duration
	stocks           map[string]int
	// spent holds, by tenant, the tokens for waiting requests of the last answer.
	spent map[string]int
}

// NewLedger returns the ledger of a holder whose lease begins at now.
func NewLedger(epoch int64, bounds Bounds, now time.Duration) *Ledger {
	validity := scaled(bounds.Validity(), clockRateMargin)
	return &Ledger{
		epoch:        epoch,
		bounds:       bounds,
		validity:     validity,
		startedAt:    now,
		unknownUntil: now + validity,
		pools:        map[string]*pool{},
		fronts:       map[string]*account{},
		sweptAt:      now,
	}
}

// Epoch returns the epoch of the lease under which the ledger is kept.
func (l *Ledger) Epoch() int64 { return l.epoch }

// Limits returns the limit of a tenant; known is false for one that there is not.
type Limits func(tenant string) (limit Limit, known bool)

// Handle takes a front's report and grants it tokens. ok is false for a report
// that a later one of the same front has overtaken.
func (l *Ledger) Handle(report Report, limits Limits, now time.Duration) (answer Answer, ok bool) {
	l.sweep(limits, now)
	answer.Epoch, answer.Unsure = l.epoch, now < l.unknownUntil
	front := l.fronts[report.Front]
	if front != nil && front.incarnation == report.Incarnation && report.Seq <= front.seq {
		return answer, false
	}
	isKnown := front != nil && front.incarnation == report.Incarnation && report.Epoch == l.epoch
	if !isKnown && !report.Full {
		answer.NeedsFull = true
		return answer, true
	}
	if front == nil || front.incarnation != report.Incarnation {
		l.forget(report.Front)
		front = &account{incarnation: report.Incarnation, stocks: map[string]int{}}
		l.fronts[report.Front] = front
	}
	if report.Answered != front.seq {
		l.takeBack(front)
	}
	front.spent = map[string]int{}
	isFirst := front.seq == 0
	front.seq, front.reportedAt = report.Seq, now
	if report.Full {
		l.dropUnnamed(front, report.Demands)
	}
	for _, demand := range report.Demands {
		limit, known := limits(demand.Tenant)
		grant := l.grant(front, demand, limit, known, isFirst, now)
		if demand.Waiting > 0 || grant.Stock > 0 {
			answer.Grants = append(answer.Grants, grant)
		}
	}
	return answer, true
}

// grant takes a front's stock of one tenant, and gives it what it demands as far as
// there are tokens.
func (l *Ledger) grant(front *account, demand Demand, limit Limit, known, isFirst bool, now time.Duration) Grant {
	grant := Grant{Tenant: demand.Tenant}
	if !known {
		l.setStock(front, demand.Tenant, 0)
		return grant
	}
	if limit.Unlimited() {
		l.setStock(front, demand.Tenant, 0)
		grant.Waiting = demand.Waiting
		return grant
	}
	p := l.pool(demand.Tenant, limit, now)
	if isFirst {
		p.unknown = max(0, p.unknown-float64(demand.Stock))
	}
	l.setStock(front, demand.Tenant, demand.Stock)
	p.fill(l.bounds, now)
	grant.Waiting = p.takeWaiting(demand.Waiting)
	front.spent[demand.Tenant] = grant.Waiting
	if grant.Waiting < demand.Waiting {
		grant.RetryAfterMs = max(1, p.wait().Milliseconds())
		return grant
	}
	if grant.Stock = p.takeStock(l.bounds, demand.Wanted); grant.Stock > 0 {
		front.stocks[demand.Tenant] += grant.Stock
	}
	return grant
}

// takeBack takes back the tokens for waiting requests of an answer that the front did
// not get. Those for its stock go by its reports.
func (l *Ledger) takeBack(front *account) {
	for tenant, tokens := range front.spent {
		if p := l.pools[tenant]; p != nil {
			p.level += float64(tokens)
		}
	}
}

// pool returns the pool of a tenant at its limit. A new one holds what came in
// since the ledger began: what was spent before is not known.
func (l *Ledger) pool(tenant string, limit Limit, now time.Duration) *pool {
	p := l.pools[tenant]
	if p == nil {
		p = &pool{limit: limit, filledAt: l.startedAt}
		if now < l.unknownUntil {
			p.unknown = max(0, l.bounds.capacity(limit)-l.bounds.reserve(limit))
		}
		for _, front := range l.fronts {
			p.stocked += front.stocks[tenant]
		}
		l.pools[tenant] = p
	}
	if p.limit != limit {
		p.fill(l.bounds, now)
		p.limit = limit
	}
	if now >= l.unknownUntil {
		p.unknown = 0
	}
	return p
}

// setStock sets what a front has in stock of a tenant.
func (l *Ledger) setStock(front *account, tenant string, stock int) {
	if p := l.pools[tenant]; p != nil {
		p.stocked += stock - front.stocks[tenant]
	}
	if stock == 0 {
		delete(front.stocks, tenant)
		return
	}
	front.stocks[tenant] = stock
}

// dropUnnamed drops the stocks of a front that a full report doesn't name.
func (l *Ledger) dropUnnamed(front *account, demands []Demand) {
	named := make(map[string]bool, len(demands))
	for _, demand := range demands {
		named[demand.Tenant] = true
	}
	for tenant := range front.stocks {
		if !named[tenant] {
			l.setStock(front, tenant, 0)
		}
	}
}

// forget drops the account of a front whose stock is void.
func (l *Ledger) forget(name string) {
	front := l.fronts[name]
	if front == nil {
		return
	}
	l.dropUnnamed(front, nil)
	delete(l.fronts, name)
}

// sweep forgets the fronts whose stock became void by their silence, and the
// tenants that there are no more.
func (l *Ledger) sweep(limits Limits, now time.Duration) {
	if now-l.sweptAt < l.validity {
		return
	}
	l.sweptAt = now
	for name, front := range l.fronts {
		if now-front.reportedAt > l.validity {
			l.forget(name)
		}
	}
	for tenant := range l.pools {
		if _, known := limits(tenant); !known {
			delete(l.pools, tenant)
		}
	}
}

// Size returns how many fronts and tenants the ledger has accounts of, and how many
// tokens the fronts have in stock.
func (l *Ledger) Size() (fronts, tenants, stocked int) {
	for _, p := range l.pools {
		stocked += p.stocked
	}
	return len(l.fronts), len(l.pools), stocked
}
