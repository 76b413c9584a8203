package frontend

import (
	"time"

	"swiftswitch/internal/quota"
	"swiftswitch/internal/tenant"
)

// quotaWaitRatio is the part of a client's time that its request waits for a
// token at most. The rest is for the request itself.
const quotaWaitRatio = 0.5

// QuotaLimiter keeps the requests of tenants within their quotas, over all nodes.
// It is safe for concurrent use.
type QuotaLimiter interface {
	// Admit takes a token for a request. While it must ask for one, it waits for
	// timeout at most, and until callerLeft is closed; the outcome then is
	// quota.Waiting. retryAfter tells a request that is refused when to come back.
	Admit(tenant *tenant.Tenant, callerLeft <-chan struct{}, timeout time.Duration) (outcome quota.Outcome, retryAfter time.Duration)
	// TryAdmit takes a token if there is one at this node.
	TryAdmit(tenant *tenant.Tenant) bool
}

// checkQuota rejects requests beyond their tenant's quota. It comes after all
// checks that don't depend on load, so that what they reject takes no token.
func (h *Handler) checkQuota(e *exchange) bool {
	if h.options.Quotas == nil || e.tenant == nil || e.tenant.Quota.Unlimited() {
		return true
	}
	outcome := quota.Taken
	if !h.options.Quotas.TryAdmit(e.tenant) {
		outcome = h.awaitQuota(e)
	}
	switch outcome {
	case quota.Taken:
		e.request.MayRunAgain = func() bool { return h.options.Quotas.TryAdmit(e.tenant) }
		return true
	case quota.Refused:
		return h.reject(e, rejectOverQuota)
	default:
		return h.reject(e, rejectQuotaUnconfirmed)
	}
}

// awaitQuota takes a token for a request for which there is none at this node.
func (h *Handler) awaitQuota(e *exchange) (outcome quota.Outcome) {
	e.caller.Watch(func() {
		timeout := scaled(time.Until(e.deadlines.HardDeadline), quotaWaitRatio)
		outcome, e.expectedWait = h.options.Quotas.Admit(e.tenant, e.caller.Context().Done(), timeout)
	})
	return outcome
}
