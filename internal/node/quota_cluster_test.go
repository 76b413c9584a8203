package node_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

// quotaTest is a cluster whose tenants have quotas.
type quotaTest struct {
	*tenantTest
	quotas *testcluster.QuotaJudge
}

// hotKey is the key of the tenant whose quota is asked for most.
const hotKey = "key-hot"

// quotaTenants have a tenant with a quota, and one without.
func quotaTenants(requestsPerS, burstSize float64) []testcluster.Tenant {
	return []testcluster.Tenant{
		{Name: "hot", APIKeys: []string{hotKey}, RequestsPerS: requestsPerS, BurstSize: burstSize},
		{Name: "free", APIKeys: []string{"key-free"}},
	}
}

func startQuotaTest(t *testing.T, requestsPerS, burstSize float64) *quotaTest {
	t.Helper()
	q := &quotaTest{tenantTest: startTenantTest(t)}
	q.quotas = testcluster.NewQuotaJudge(q.Cluster)
	q.setQuotas(t, quotaTenants(requestsPerS, burstSize))
	q.TakeArrivals()
	return q
}

// setQuotas puts tenants in force, and waits until that must be so everywhere.
func (q *quotaTest) setQuotas(t *testing.T, tenants []testcluster.Tenant) {
	t.Helper()
	q.quotas.SetLimits(tenants, false)
	if err := q.operator.SetTenants(tenants, changeTimeout); err != nil {
		t.Fatal(err)
	}
	q.quotas.SetLimits(tenants, true)
	q.awaitEffect()
}

// flood has clients ask at the fronts as fast as they can for a time, and returns
// how often each status came.
func (q *quotaTest) flood(duration time.Duration, key string, fronts ...int) map[int]int {
	const clientsPerFront = 3
	statuses := map[int]int{}
	var mu sync.Mutex
	clients := make([]*testcluster.KeyedClient, clientsPerFront*len(fronts))
	for i := range clients {
		clients[i] = q.NewKeyedClient(fronts[i%len(fronts)])
	}
	stop := testcluster.Repeat(len(clients), func(i int) {
		r := clients[i].Ask("/p/x", key)
		q.quotas.Record(r)
		mu.Lock()
		statuses[r.Status]++
		mu.Unlock()
		time.Sleep(time.Millisecond)
	})
	time.Sleep(duration)
	stop()
	for _, client := range clients {
		client.Close()
	}
	return statuses
}

// judge fails the test where more ran than the quotas allow.
func (q *quotaTest) judgeQuotas(t *testing.T) *testcluster.QuotaReport {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	q.AwaitWork()
	report := q.quotas.Judge()
	t.Logf("%d runs, fullest window %.2f", report.Runs, report.Fullest)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	return report
}

// A tenant that asks at all fronts gets its quota once, not once at each front,
// and 429 beyond it.
func TestQuotaHoldsOverAllFronts(t *testing.T) {
	q := startQuotaTest(t, 20, 20)
	time.Sleep(2 * q.QuotaWindow())
	statuses := q.flood(3*q.QuotaWindow(), hotKey, 11, 12)
	t.Log(statuses)
	report := q.judgeQuotas(t)
	if statuses[http.StatusTooManyRequests] == 0 || report.Runs < 50 {
		t.Errorf("%d runs, answers %v: the quota is not used, or nothing is refused", report.Runs, statuses)
	}
	if free := q.flood(q.QuotaWindow()/2, "key-free", 11, 12); free[http.StatusTooManyRequests] > 0 {
		t.Errorf("a tenant without a quota was refused: %v", free)
	}
}

// What stays below the quota is never refused, whichever front it comes to, and
// neither is a burst after a rest.
func TestNothingBelowTheQuotaIsRefused(t *testing.T) {
	q := startQuotaTest(t, 60, 40)
	time.Sleep(2 * q.QuotaWindow())
	var refused atomic.Int64
	ask := func(front int) {
		client := q.NewKeyedClient(front)
		defer client.Close()
		r := client.Ask("/p/x", hotKey)
		q.quotas.Record(r)
		if r.Status == http.StatusTooManyRequests {
			refused.Add(1)
		}
	}
	var asking sync.WaitGroup
	for i := range 90 {
		asking.Go(func() { ask(11 + i%2) })
		time.Sleep(33 * time.Millisecond)
	}
	asking.Wait()
	time.Sleep(3 * q.QuotaWindow())
	for i := range 40 {
		asking.Go(func() { ask(11 + i%2) })
	}
	asking.Wait()
	if report := q.judgeQuotas(t); refused.Load() > 0 || report.Runs < 100 {
		t.Errorf("%d refused, %d ran", refused.Load(), report.Runs)
	}
}

// A front that is cut off spends what it has, and then sends nothing on.
func TestFrontCutOffKeepsToItsShare(t *testing.T) {
	q := startQuotaTest(t, 20, 20)
	q.flood(q.QuotaWindow(), hotKey, 11, 12)
	q.UseInternalPort(partitionPort, "11")
	statuses := q.flood(4*q.QuotaWindow(), hotKey, 11, 12)
	t.Log(statuses)
	q.UseInternalPort(q.Port, "11")
	q.judgeQuotas(t)
}

// A lower limit binds also the front that was cut off when it came.
func TestLowerQuotaBindsEveryFront(t *testing.T) {
	q := startQuotaTest(t, 100, 50)
	q.flood(q.QuotaWindow(), hotKey, 11, 12)
	q.UseInternalPort(partitionPort, "12")
	lower := quotaTenants(10, 5)
	q.quotas.SetLimits(lower, false)
	if err := q.operator.SetTenants(lower, changeTimeout); err != nil {
		t.Fatal(err)
	}
	q.flood(q.QuotaWindow(), hotKey, 11, 12)
	q.UseInternalPort(q.Port, "12")
	time.Sleep(q.ConfigurationEffect())
	q.quotas.SetLimits(lower, true)
	q.flood(4*q.QuotaWindow(), hotKey, 11, 12)
	q.judgeQuotas(t)
}
