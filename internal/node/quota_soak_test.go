package node_test

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

// For how long quotas are asked for under troubles; -tenants.seed, -tenants.scale
// and -tenants.fronts are those of the soaks of keys:
//
//	go test ./internal/node -run TestQuotas -quotas.time=10m -tenants.seed=0 -timeout 0 -v
var quotaSoakTime = flag.Duration("quotas.time", 15*time.Second, "how long each of the soaks of quotas runs")

// quotaSoakClients ask in the soaks of quotas.
const quotaSoakClients = 12

// quotaSoak asks for quotas that change, on connections that clients use until
// their front is gone.
type quotaSoak struct {
	*testcluster.Cluster
	operator *testcluster.TenantOperator
	judge    *testcluster.QuotaJudge
	// fronts are the numbers of the fronts that clients ask.
	fronts []int

	mu sync.Mutex
	// load is how long clients rest between two requests, lone whether all ask
	// at the first front.
	load     time.Duration
	lone     bool
	statuses map[int]int
	changes  int
}

func newQuotaSoak(c *testcluster.Cluster, operator *testcluster.TenantOperator, fronts []int) *quotaSoak {
	return &quotaSoak{Cluster: c, operator: operator, judge: testcluster.NewQuotaJudge(c), fronts: fronts, statuses: map[int]int{}}
}

// Under troubles drawn by lot, and whatever the operator changes meanwhile, no
// window holds more runs of a tenant than its quota allows.
func TestQuotasUnderTroubles(t *testing.T) {
	seed := drawnSeed(t)
	tenants := startStretchedTenantTest(t, *tenantScale)
	troubles := &tenantSoak{tenantTest: tenants, troubles: map[string]int{}, kinds: overlappingKinds}
	soak := newQuotaSoak(tenants.Cluster, tenants.operator, []int{11, 12})
	soak.run(t, seed, func(end time.Time) {
		troubles.makeTroubles(rand.New(rand.NewPCG(seed, 2)), end)
	})
	t.Log("troubles", troubles.troubles)
}

// The same with processes, which get signals, freeze and are started again.
func TestQuotasAcrossProcesses(t *testing.T) {
	seed := drawnSeed(t)
	processes := startProcessSoak(t, 0)
	processes.overlapping = true
	t.Log(processes.Count(), "processes")
	var fronts []int
	for i := range quotaSoakClients {
		fronts = append(fronts, firstFront+i*processes.fronts/quotaSoakClients)
	}
	soak := newQuotaSoak(processes.Cluster, processes.operator, fronts)
	soak.run(t, seed, func(end time.Time) {
		var running sync.WaitGroup
		for i := range 3 {
			running.Go(func() { processes.makeTroubles(rand.New(rand.NewPCG(seed, 10+uint64(i))), end) })
		}
		running.Wait()
	})
	t.Log("troubles", processes.troubles)
}

func drawnSeed(t *testing.T) uint64 {
	t.Helper()
	seed := *tenantSoakSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Log("seed", seed)
	return seed
}

// run has clients ask and the operator change quotas while troubles are made.
func (s *quotaSoak) run(t *testing.T, seed uint64, makeTroubles func(end time.Time)) {
	t.Helper()
	s.change(t, quotaTenants(60, 30))
	s.TakeArrivals()
	end := time.Now().Add(*quotaSoakTime)
	stopClients := s.startClients()
	var operator sync.WaitGroup
	operator.Go(func() { s.changeAll(t, rand.New(rand.NewPCG(seed, 1)), end) })
	makeTroubles(end)
	operator.Wait()
	stopClients()
	s.AwaitWork()
	report := s.judge.Judge()
	t.Logf("%d runs, fullest window %.2f, %d changes, answers %v", report.Runs, report.Fullest, s.changes, s.statuses)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	// While a holder is unsure, what finds no token gets 503.
	held := s.statuses[http.StatusTooManyRequests] + s.statuses[http.StatusServiceUnavailable]
	if report.Runs < 50 || held == 0 || s.changes == 0 {
		t.Error("the test shows nothing")
	}
}

// change puts tenants in force. One that was sent may count from then on.
func (s *quotaSoak) change(t *testing.T, tenants []testcluster.Tenant) {
	s.judge.SetLimits(tenants, false)
	if err := s.operator.SetTenants(tenants, changeTimeout); err != nil {
		t.Log(err)
		return
	}
	s.judge.SetLimits(tenants, true)
	s.changes++
}

// changeAll changes the quotas and how they are asked for until the end.
func (s *quotaSoak) changeAll(t *testing.T, draw *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.mu.Lock()
		s.load = []time.Duration{time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond}[draw.IntN(3)]
		s.lone = draw.IntN(3) == 0
		s.mu.Unlock()
		if draw.IntN(2) == 0 {
			s.change(t, quotaTenants(float64(5+draw.IntN(80)), float64(draw.IntN(60))))
		}
		time.Sleep(time.Duration(200+draw.IntN(2500)) * time.Millisecond)
	}
}

func (s *quotaSoak) startClients() (stop func()) {
	clients := make([]*testcluster.KeyedClient, quotaSoakClients)
	for i := range clients {
		clients[i] = s.NewKeyedClient(s.fronts[i%len(s.fronts)])
		clients[i].Stubborn = i%2 == 0
	}
	stopAsking := testcluster.Repeat(len(clients), func(i int) {
		s.mu.Lock()
		load, rests := s.load, s.lone && i%len(s.fronts) > 0
		s.mu.Unlock()
		if rests {
			time.Sleep(10 * time.Millisecond)
			return
		}
		r := clients[i].Ask([]string{"/p/x", "/u/x"}[i/2%2], hotKey)
		s.judge.Record(r)
		s.mu.Lock()
		s.statuses[r.Status]++
		s.mu.Unlock()
		time.Sleep(load)
	})
	return func() {
		stopAsking()
		for _, client := range clients {
			client.Close()
		}
	}
}
