package frontend

import (
	"swiftswitch/internal/routing"
	"swiftswitch/internal/tenant"
	"swiftswitch/internal/upstream"
)

// authenticate finds the tenant whose key the request presents, and tells its
// name to the endpoints in place of the key. It runs for every request, whatever
// its route and however long its connection has been open, before a cached
// object is looked up and before anything is sent. By the snapshot, the route
// and the tenants are those of one version.
func (h *Handler) authenticate(e *exchange) bool {
	verdict := h.identify(e)
	h.metrics.authentications[verdict].Inc()
	switch verdict {
	case tenant.Accepted:
		e.request.SetTenant(e.tenant.Name)
		return true
	case tenant.NotNeeded:
		if e.snapshot.RouteTable.Tenants == nil {
			e.request.ForwardKey()
		}
		return true
	case tenant.Unconfirmed:
		return h.reject(e, rejectKeysUnconfirmed)
	default:
		return h.reject(e, rejectUnauthenticated)
	}
}

// identify sets the exchange's tenant where its key is accepted.
func (h *Handler) identify(e *exchange) (verdict tenant.Verdict) {
	tenants := e.snapshot.RouteTable.Tenants
	if tenants == nil || e.route.Public {
		return tenant.NotNeeded
	}
	if !h.options.KeysConfirmed() {
		return tenant.Unconfirmed
	}
	e.tenant, verdict = tenants.Authenticate(e.request.Credential)
	return verdict
}

// isRelayedTenantValid reports whether a request that another front relayed bears
// what authenticate would have set: the name of a tenant, and no key. The front
// that took the request from its client has checked the key, by the same version.
func isRelayedTenantValid(tenants *tenant.Directory, route *routing.Route, request *upstream.Request) bool {
	switch {
	case tenants == nil:
		return request.Tenant == ""
	case request.Credential.Lines > 0:
		return false
	case route.Public:
		return request.Tenant == ""
	default:
		return tenants.Has(request.Tenant)
	}
}

// priority is the rank of the request under load shedding, 0 the highest: that of
// its tenant, or else of its route.
func (e *exchange) priority() int {
	if e.tenant != nil && e.tenant.HasPriority {
		return e.tenant.Priority
	}
	return e.route.Priority
}

// tenantName is empty for a request without a tenant.
func (e *exchange) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return e.tenant.Name
}
