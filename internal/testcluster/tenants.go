package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// publicRoute is a route of ConfigurationWithTenants that wants no key.
const publicRoute = `{"Name":"o","HostName":"a.example","PathPrefix":"/o/","RouteKind":"safe","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"plain","Attempts":2,"Public":true},`

// PublicPath is the prefix of the route that wants no key.
const PublicPath = "/o/"

// Tenant is a tenant of a configuration, and its keys.
type Tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority *int     `json:",omitempty"`
	// RequestsPerS and BurstSize are its quota; 0 means none.
	RequestsPerS float64 `json:",omitempty"`
	BurstSize    float64 `json:",omitempty"`
}

// ConfigurationWithTenants is ConfigurationBody with tenants, and with a route
// that is public.
func ConfigurationWithTenants(version int, tenants []Tenant, shards ...string) string {
	raw, err := json.Marshal(tenants)
	if err != nil {
		panic(err) // strings and numbers only
	}
	body := ConfigurationBody(version, shards...)
	body = strings.Replace(body, `"Routes":[`, `"Routes":[`+publicRoute, 1)
	return strings.Replace(body, `{"Version"`, fmt.Sprintf(`{"Tenants":%s,"Version"`, raw), 1)
}

// tenantVersion is a configuration that an operator sent.
type tenantVersion struct {
	version int
	// owners holds the tenant's name by key.
	owners map[string]string
	sentAt time.Time
	// ackedAt is when it was acknowledged, zero if it was not, or not yet.
	ackedAt time.Time
	// rejected: it must never be in force.
	rejected bool
}

// TenantOperator changes the tenants of a cluster, and keeps which
// configuration was sent and acknowledged when.
type TenantOperator struct {
	cluster *Cluster
	shards  []string
	// nodes are the numbers of the nodes that are called in turn.
	nodes []int

	// changing is held during a change.
	changing sync.Mutex

	mu       sync.Mutex
	versions []*tenantVersion
	current  int
	tenants  []Tenant
}

// NewTenantOperator returns the operator of a cluster whose configuration has
// this version and no tenants.
func NewTenantOperator(c *Cluster, current int, nodes []int, shards ...string) *TenantOperator {
	return &TenantOperator{cluster: c, shards: shards, nodes: nodes, current: current}
}

// Tenants returns the tenants last acknowledged. They must not be changed.
func (o *TenantOperator) Tenants() []Tenant {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenants
}

// SetTenants puts a configuration with these tenants in force. It calls one node
// after the other until the change is acknowledged, for at most timeout.
func (o *TenantOperator) SetTenants(tenants []Tenant, timeout time.Duration) error {
	o.changing.Lock()
	defer o.changing.Unlock()
	base, next := o.begin(tenants, 1)
	return o.send(http.MethodPut, base, next, ConfigurationWithTenants(next.version, tenants, o.shards...), tenants, timeout)
}

// PatchTenants changes single tenants by a PATCH: set replaces those of the same
// names, and remove drops others.
func (o *TenantOperator) PatchTenants(set []Tenant, remove []string, timeout time.Duration) error {
	o.changing.Lock()
	defer o.changing.Unlock()
	merged := mergeTenants(o.Tenants(), set, remove)
	base, next := o.begin(merged, 1)
	raw, err := json.Marshal(map[string]any{
		"Version":     next.version,
		"SetItems":    map[string]any{"Tenants": set},
		"RemoveNames": map[string]any{"Tenants": remove},
	})
	if err != nil {
		return err
	}
	return o.send(http.MethodPatch, base, next, string(raw), merged, timeout)
}

// RaceTenants sends two configurations at once on top of the same version, to
// two nodes. One of them at most may come into force.
func (o *TenantOperator) RaceTenants(first, second []Tenant, timeout time.Duration) error {
	o.changing.Lock()
	defer o.changing.Unlock()
	base, one := o.begin(first, 1)
	_, other := o.begin(second, 2)
	errs := make(chan error, 2)
	go func() {
		errs <- o.send(http.MethodPut, base, one, ConfigurationWithTenants(one.version, first, o.shards...), first, timeout)
	}()
	go func() {
		errs <- o.send(http.MethodPut, base, other, ConfigurationWithTenants(other.version, second, o.shards...), second, timeout)
	}()
	errOne, errOther := <-errs, <-errs
	if errOne != nil && errOther != nil {
		return errOne
	}
	return nil
}

// mergeTenants applies a patch.
func mergeTenants(tenants, set []Tenant, remove []string) []Tenant {
	replaced := map[string]bool{}
	for _, name := range remove {
		replaced[name] = true
	}
	for _, tenant := range set {
		replaced[tenant.Name] = true
	}
	var merged []Tenant
	for _, tenant := range tenants {
		if !replaced[tenant.Name] {
			merged = append(merged, tenant)
		}
	}
	return append(merged, set...)
}

// begin records a configuration that is about to be sent.
func (o *TenantOperator) begin(tenants []Tenant, step int) (base int, next *tenantVersion) {
	owners := map[string]string{}
	for _, tenant := range tenants {
		for _, key := range tenant.APIKeys {
			owners[key] = tenant.Name
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	next = &tenantVersion{version: o.current + step, owners: owners, sentAt: time.Now()}
	o.versions = append(o.versions, next)
	return o.current, next
}

// send sends a change until it is acknowledged or rejected.
func (o *TenantOperator) send(method string, base int, next *tenantVersion, body string, tenants []Tenant, timeout time.Duration) error {
	var last string
	for end, i := time.Now().Add(timeout), next.version; time.Now().Before(end); i++ {
		status, answer := o.cluster.PutConfiguration(o.nodes[i%len(o.nodes)], method, strconv.Itoa(base), body)
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			defer o.mu.Unlock()
			next.ackedAt = time.Now()
			o.current, o.tenants = next.version, tenants
			return nil
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.mu.Lock()
			defer o.mu.Unlock()
			next.rejected = true
			return fmt.Errorf("version %d is rejected: %d %s", next.version, status, answer)
		}
		last = fmt.Sprint(status, " ", answer)
		time.Sleep(eventuallyInterval)
	}
	return fmt.Errorf("version %d is not acknowledged in time: %s", next.version, last)
}

// allowedOwners returns the tenants that a key may have for a request that was
// sent at sentAt and ended at endedAt, "" if it may be unknown. Where isBound, a
// version may not be in force any more once a later one was acknowledged for
// longer than effect. Where revocation is above 0, a version may not give a key
// any more that a later one removed, acknowledged for longer than that.
func (o *TenantOperator) allowedOwners(key string, sentAt, endedAt time.Time, isBound bool, effect, revocation time.Duration) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	allowed := map[string]bool{}
	for _, v := range o.versions {
		if v.rejected || v.sentAt.After(endedAt) || isBound && o.isReplaced(v, sentAt, effect) {
			continue
		}
		if revocation > 0 && o.isRevoked(v, key, sentAt, revocation) {
			continue
		}
		allowed[v.owners[key]] = true
	}
	return allowed
}

// isRevoked reports whether a later version than v removed a key, and was
// acknowledged long enough before sentAt.
func (o *TenantOperator) isRevoked(v *tenantVersion, key string, sentAt time.Time, revocation time.Duration) bool {
	for _, later := range o.versions {
		removed := later.version > v.version && later.owners[key] == ""
		if removed && !later.ackedAt.IsZero() && later.ackedAt.Add(revocation).Before(sentAt) {
			return true
		}
	}
	return false
}

// isReplaced reports whether a later version than v must be in force for a
// request that was sent at sentAt.
func (o *TenantOperator) isReplaced(v *tenantVersion, sentAt time.Time, effect time.Duration) bool {
	for _, later := range o.versions {
		if later.version > v.version && !later.ackedAt.IsZero() && later.ackedAt.Add(effect).Before(sentAt) {
			return true
		}
	}
	return false
}

// keys returns all keys that were ever sent.
func (o *TenantOperator) keys() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := map[string]bool{}
	for _, v := range o.versions {
		for key := range v.owners {
			keys[key] = true
		}
	}
	return keys
}
