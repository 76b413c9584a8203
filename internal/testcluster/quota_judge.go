package testcluster

import (
	"fmt"
	"sync"
	"time"
)

// QuotaJudge judges whether the requests of tenants that ran stayed within their
// quotas, by what clients sent, what endpoints ran and what the operator was
// acknowledged. It knows nothing of how the nodes divide the quotas.
type QuotaJudge struct {
	cluster *Cluster

	mu sync.Mutex
	// sent holds when each request was sent, by its ID.
	sent map[string]time.Time
	// limits holds what was in force for each tenant, in that order.
	limits map[string][]quotaVersion
}

// quotaVersion is a tenant's quota from a time on.
type quotaVersion struct {
	requestsPerS, burstSize float64
	// binds is when a window may begin that must keep to it. The versions
	// before allow what they allow until then.
	binds time.Time
}

// QuotaReport is the judgement of what was asked.
type QuotaReport struct {
	Runs int
	// Fullest is the greatest part of what a window allows that was used in one.
	Fullest    float64
	Violations []string
}

// NewQuotaJudge returns a judge of a cluster's quotas.
func NewQuotaJudge(c *Cluster) *QuotaJudge {
	return &QuotaJudge{cluster: c, sent: map[string]time.Time{}, limits: map[string][]quotaVersion{}}
}

// Record takes a request that was sent.
func (j *QuotaJudge) Record(r KeyedRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[r.ID] = r.SentAt
}

// SetLimits takes the tenants of a configuration. It is called before a
// configuration is sent, and again once it is acknowledged.
func (j *QuotaJudge) SetLimits(tenants []Tenant, acknowledged bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	binds := now.Add(j.cluster.ConfigurationEffect() + j.cluster.QuotaWindow())
	for _, tenant := range tenants {
		versions := j.limits[tenant.Name]
		if acknowledged {
			versions[len(versions)-1].binds = binds
			continue
		}
		j.limits[tenant.Name] = append(versions, quotaVersion{
			requestsPerS: tenant.RequestsPerS,
			burstSize:    tenant.BurstSize,
			binds:        now.Add(time.Hour),
		})
	}
}

// allowed returns how many requests of a tenant may run in a window that begins
// at a time: what the most generous version allows that may count yet.
func (j *QuotaJudge) allowed(tenant string, begin time.Time) float64 {
	most := 0.0
	versions := j.limits[tenant]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		quota := v.requestsPerS*j.cluster.QuotaWindow().Seconds() + v.burstSize
		most = max(most, quota*(1+quotaOvershoot)+quotaSlack)
		if !begin.Before(v.binds) {
			break
		}
	}
	return most
}

// quotaRun is a request that an endpoint ran.
type quotaRun struct{ sentAt, receivedAt time.Time }

// Judge judges all that ran.
func (j *QuotaJudge) Judge() *QuotaReport {
	j.mu.Lock()
	defer j.mu.Unlock()
	report := &QuotaReport{}
	runs := map[string][]quotaRun{}
	for id, arrivals := range j.cluster.TakeArrivals() {
		for _, arrival := range arrivals {
			tenant := arrival.Header.Get("Swiftswitch-Tenant-Name")
			runs[tenant] = append(runs[tenant], quotaRun{j.sent[id], arrival.ReceivedAt})
		}
	}
	for tenant, all := range runs {
		report.Runs += len(all)
		if len(j.limits[tenant]) > 0 {
			j.judgeTenant(report, tenant, all)
		}
	}
	return report
}

// judgeTenant looks at the window from each request on.
func (j *QuotaJudge) judgeTenant(report *QuotaReport, tenant string, runs []quotaRun) {
	worst, worstAllowed := 0, 0.0
	for _, first := range runs {
		begin, count := first.sentAt, 0
		end := begin.Add(j.cluster.QuotaWindow())
		for _, run := range runs {
			if !run.sentAt.Before(begin) && !run.receivedAt.After(end) {
				count++
			}
		}
		allowed := j.allowed(tenant, begin)
		report.Fullest = max(report.Fullest, float64(count)/allowed)
		if float64(count) > allowed && count > worst {
			worst, worstAllowed = count, allowed
		}
	}
	if worst > 0 {
		report.Violations = append(report.Violations, fmt.Sprintf("QUOTA: %d requests of %s ran in a window that allows %.0f", worst, tenant, worstAllowed))
	}
}
