package quota

import (
	"math"
	"time"
)

const (
	// intervalRatio is the part of the window after which a front reports what it
	// spent, and validityRatio that for which its stock outlasts the last answer.
	intervalRatio = 0.1
	validityRatio = 2
	// confirmRatio is the part of the validity after which a front reports also
	// if it spent nothing.
	confirmRatio = 0.25
	// rateIntervals is the time constant, in intervals, of the rate at which a
	// front spends tokens, and stockIntervals how long its stock is to last.
	rateIntervals  = 4
	stockIntervals = 2
	// askAgainRatio is the part of an interval after which a holder that is unsure is
	// asked again at the soonest.
	askAgainRatio = 0.2
	// refusalRatio is the part of an interval for which requests are refused at
	// least before the holder is asked again.
	refusalRatio = 0.5
)

// Interval returns how often a front reports.
func (b Bounds) Interval() time.Duration { return scaled(b.Window, intervalRatio) }

// Validity returns for how long a front may spend stock that is not confirmed.
func (b Bounds) Validity() time.Duration { return scaled(b.Window, validityRatio) }

func scaled(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// Outcome is what a request finds that wants a token.
type Outcome int

const (
	// Taken: the request has a token.
	Taken Outcome = iota
	// Refused: the quota is used up.
	Refused
	// Waiting: the holder must be asked.
	Waiting
)

// Shares are a front's shares of the tenants' tokens.
type Shares struct {
	bounds Bounds
	// front and incarnation identify this run of the process.
	front       string
	incarnation int64
	seq, epoch  int64
	// answered is the number of the last report whose answer was taken.
	answered int64
	// full: the next report must be a full one.
	full bool
	// confirmedAt is when the last report was sent that was answered.
	confirmedAt time.Duration
	// void: the stock was dropped, since nothing confirmed it.
	void       bool
	reportedAt time.Duration
	shares     map[string]*share
}

// share is a front's share of one tenant's tokens.
type share struct {
	// limit is the quota that the stock is part of.
	limit Limit
	stock int
	// waiting counts the requests that wait for a token.
	waiting int
	// changed: something is to be reported.
	changed bool
	// demanded counts the tokens that requests wanted since the last report, rate
	// is how many they want in a second.
	demanded int
	rate     float64
	lastUsed time.Duration
	// refusedUntil is when the holder may be asked again, after it had no token.
	refusedUntil time.Duration
}

// NewShares returns the shares of a front's process that has just started.
func NewShares(front string, incarnation int64, bounds Bounds) *Shares {
	return &Shares{bounds: bounds, front: front, incarnation: incarnation, full: true, shares: map[string]*share{}}
}

// Take takes a token for a request. Where the outcome is Waiting, the request
// counts as one that waits until OnAnswer or Leave takes note of it. wait is how
// long a request that is refused may be refused yet.
func (s *Shares) Take(tenant string, limit Limit, now time.Duration) (outcome Outcome, wait time.Duration) {
	s.voidUnconfirmed(now)
	share := s.shares[tenant]
	if share == nil {
		share = newShare(limit, now)
		s.shares[tenant] = share
	}
	share.follow(limit)
	share.lastUsed = now
	share.demanded++
	if share.takeStock() {
		return Taken, 0
	}
	if now < share.refusedUntil {
		return Refused, share.refusedUntil - now
	}
	share.waiting++
	return Waiting, 0
}

// newShare returns the share of a tenant that was not used before.
func newShare(limit Limit, now time.Duration) *share { return &share{limit: limit, lastUsed: now} }

// follow drops the stock of another limit: it may be more than the present one
// allows.
func (s *share) follow(limit Limit) {
	if s.limit != limit {
		s.limit, s.stock, s.changed = limit, 0, true
	}
}

// takeStock takes a token if there is one in stock.
func (s *share) takeStock() bool {
	if s.stock == 0 {
		return false
	}
	s.stock--
	s.changed = true
	return true
}

// TryTake takes a token if there is one in stock. Otherwise it does nothing.
func (s *Shares) TryTake(tenant string, limit Limit, now time.Duration) bool {
	s.voidUnconfirmed(now)
	share := s.shares[tenant]
	if share == nil {
		return false
	}
	share.follow(limit)
	if !share.takeStock() {
		return false
	}
	share.lastUsed = now
	share.demanded++
	return true
}

// Leave takes note that a request waits no longer.
func (s *Shares) Leave(tenant string) { s.shares[tenant].waiting-- }

// voidUnconfirmed drops all stock that the holder has not confirmed for too long.
func (s *Shares) voidUnconfirmed(now time.Duration) {
	if s.void || now-s.confirmedAt <= s.bounds.Validity() {
		return
	}
	for _, share := range s.shares {
		share.stock = 0
	}
	s.void, s.full = true, true
}

// Report returns the report to send now; due is false where there is none to send.
// Its answer goes to OnAnswer, or its failure to OnFailure, before the next.
func (s *Shares) Report(now time.Duration) (report Report, due bool) {
	s.voidUnconfirmed(now)
	elapsed := now - s.reportedAt
	report = Report{Front: s.front, Incarnation: s.incarnation, Answered: s.answered, Epoch: s.epoch, Full: s.full}
	isStocked := false
	for tenant, share := range s.shares {
		wanted := share.refresh(s.bounds, elapsed, now)
		isStocked = isStocked || share.stock > 0
		if share.changed || share.waiting > 0 || wanted > 0 || s.full && share.stock > 0 {
			report.Demands = append(report.Demands, Demand{Tenant: tenant, Stock: share.stock, Waiting: share.waiting, Wanted: wanted})
		} else if share.stock == 0 {
			delete(s.shares, tenant)
		}
	}
	isConfirmationDue := isStocked && now-s.confirmedAt > scaled(s.bounds.Validity(), confirmRatio)
	if len(report.Demands) == 0 && !isConfirmationDue {
		return report, false
	}
	for _, demand := range report.Demands {
		s.shares[demand.Tenant].changed = false
	}
	s.seq++
	report.Seq = s.seq
	s.reportedAt = now
	return report, true
}

// refresh brings the share's rate up to date, and returns how many tokens it wants
// in stock besides. A share that was not used for long gives its stock back.
func (s *share) refresh(bounds Bounds, elapsed, now time.Duration) (wanted int) {
	if elapsed > 0 {
		part := min(1, float64(elapsed)/float64(rateIntervals*bounds.Interval()))
		s.rate += part * (float64(s.demanded)/elapsed.Seconds() - s.rate)
		s.demanded = 0
	}
	if now-s.lastUsed > bounds.Validity() {
		if s.stock > 0 {
			s.stock, s.changed = 0, true
		}
		return 0
	}
	target := math.Ceil(s.rate * (stockIntervals * bounds.Interval()).Seconds())
	return max(0, max(1, int(target))-s.stock)
}

// Admission says what becomes of the requests of one tenant that waited, the
// first ones first: Admitted of them have a token, Refused find none.
type Admission struct {
	Tenant            string
	Admitted, Refused int
	// RetryAfter is when those that are refused may come back, or, where some go on
	// waiting, when the holder is to be asked again.
	RetryAfter time.Duration
}

// OnAnswer takes the answer to a report that was sent at that time. again is set
// where another report must be sent at once.
func (s *Shares) OnAnswer(report Report, answer Answer, sent, now time.Duration) (admissions []Admission, again bool) {
	if answer.Epoch == 0 || answer.Epoch < s.epoch {
		s.OnFailure()
		return nil, false
	}
	s.epoch = answer.Epoch
	if answer.NeedsFull {
		s.OnFailure()
		return nil, true
	}
	s.full, s.void, s.answered = false, false, report.Seq
	s.confirmedAt = sent
	for _, grant := range answer.Grants {
		s.shares[grant.Tenant].stock += grant.Stock
	}
	for _, demand := range report.Demands {
		if demand.Waiting > 0 {
			admissions = append(admissions, s.admit(demand, grantOf(answer, demand.Tenant), answer.Unsure, now))
		}
	}
	return admissions, false
}

// grantOf returns the grant of a tenant, an empty one if there is none.
func grantOf(answer Answer, tenant string) Grant {
	for _, grant := range answer.Grants {
		if grant.Tenant == tenant {
			return grant
		}
	}
	return Grant{Tenant: tenant}
}

// admit divides the requests that waited when their demand was reported, less
// those that have left, into those that have a token and the others. While the
// holder is unsure the others go on waiting.
func (s *Shares) admit(demand Demand, grant Grant, unsure bool, now time.Duration) Admission {
	share := s.shares[demand.Tenant]
	waited := min(demand.Waiting, share.waiting)
	admission := Admission{Tenant: demand.Tenant, Admitted: min(grant.Waiting, waited)}
	wait := time.Duration(grant.RetryAfterMs) * time.Millisecond
	switch {
	case grant.Waiting >= demand.Waiting:
	case unsure:
		admission.RetryAfter = max(scaled(s.bounds.Interval(), askAgainRatio), wait)
	default:
		least := scaled(s.bounds.Interval(), refusalRatio)
		admission.Refused = waited - admission.Admitted
		admission.RetryAfter = max(least, wait)
		share.refusedUntil = now + least
	}
	share.waiting -= admission.Admitted + admission.Refused
	return admission
}

// OnFailure takes note that a report was not answered. What the holder knows is in
// doubt then.
func (s *Shares) OnFailure() {
	s.full = true
}

// Stock returns how many tokens the front has in stock, and how many tenants it
// has any of.
func (s *Shares) Stock() (tokens, tenants int) {
	for _, share := range s.shares {
		if share.stock > 0 {
			tokens += share.stock
			tenants++
		}
	}
	return tokens, tenants
}
