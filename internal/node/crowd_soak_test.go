package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

// For how long, with which lot and with how many processes crowds are met:
//
//	go test ./internal/node -run TestCrowdsUnderTroubles -crowds.time=3m -crowds.seed=0 -crowds.fronts=90 -crowds.scale=4 -timeout 0 -v
var (
	crowdTime   = flag.Duration("crowds.time", 45*time.Second, "how long TestCrowdsUnderTroubles runs")
	crowdSeed   = flag.Uint64("crowds.seed", 1, "the seed of its crowds, troubles and changes; 0 draws one")
	crowdFronts = flag.Int("crowds.fronts", 4, "its fronts, 200 at most")
	crowdScale  = flag.Float64("crowds.scale", 2, "stretches its bounds; more processes want more")
)

const (
	// soakCrowdClients are the clients of one crowd, soakCrowds how many crowds
	// there are at once.
	soakCrowdClients = 60
	soakCrowds       = 2
	// soakMemoryMb and soakDescriptors are the Limits of each process,
	// reservedDescriptors of them are kept for files.
	soakMemoryMb        = 96
	soakDescriptors     = 700
	reservedDescriptors = 200
	// usageInterval is how often the processes are looked at.
	usageInterval = 20 * time.Millisecond
	// soakBodyBytes is the longest body of an ordinary client.
	soakBodyBytes = 60 << 10
)

// Ports of the listeners of a node, beside testcluster.Cluster.Port for nodes.
const (
	clientsPort   = 8080
	readinessPort = 8081
	controlPort   = 8090
)

// narrowLimits are allowed to all ordinary clients of the soak, like PageLimits.
const narrowLimits = `{"HeaderSizeBytes":8192,"BodySizeBytes":131072,"HeaderTimeoutMs":2000,"IdleTimeoutMs":5000}`

// crowdKinds are what the clients of a crowd may do.
var crowdKinds = []testcluster.Misbehaviour{
	testcluster.EndlessHead, testcluster.EndlessStartLine, testcluster.EndlessField, testcluster.EmptyLines, testcluster.EmptyLinesAfter,
	testcluster.TinyFields, testcluster.ByteByByte, testcluster.SmallChunks, testcluster.LargeChunks, testcluster.EndlessChunks,
	testcluster.EndlessExtension, testcluster.EndlessChunkSize, testcluster.EndlessTrailers, testcluster.AnnouncedLength,
	testcluster.ShortOfLength, testcluster.BodyOverLimit, testcluster.UnreadResponses, testcluster.Silence,
}

// crowdSoak lets crowds meet processes that get signals, beside ordinary clients.
type crowdSoak struct {
	*processSoak
	judge *testcluster.RefusalJudge

	mu sync.Mutex
	// peakMemoryMb and peakDescriptors are the most that a process took.
	peakMemoryMb    float64
	peakDescriptors int
	crowds, changes int
}

// Processes whose callers misbehave stay within their limits and alive, whatever
// signals they get and however the configuration changes. Ordinary clients, on
// connections that they use until the process is gone, get whole answers of their
// own, and no request runs that was refused by a status that promises so.
func TestCrowdsUnderTroubles(t *testing.T) {
	seed := *crowdSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Log("seed", seed)
	s := startCrowdSoak(t)
	t.Log(s.Count(), "processes")
	end := time.Now().Add(*crowdTime)
	stopClients := s.startOrdinaryClients(seed)
	var running sync.WaitGroup
	for i := range soakCrowds {
		running.Go(func() { s.makeCrowds(rand.New(rand.NewPCG(seed, 30+uint64(i))), end) })
	}
	running.Go(func() { s.changeLimits(rand.New(rand.NewPCG(seed, 20)), end) })
	for i := range 2 {
		running.Go(func() { s.makeTroubles(rand.New(rand.NewPCG(seed, 10+uint64(i))), end) })
	}
	running.Go(func() { s.watchUsage(end) })
	running.Wait()
	stopClients()
	s.check()
}

func startCrowdSoak(t *testing.T) *crowdSoak {
	t.Helper()
	c := testcluster.New(t)
	c.TimeScale, c.LastFront = *crowdScale, firstFront+*crowdFronts-1
	c.MemoryMb, c.FileDescriptors = soakMemoryMb, soakDescriptors
	addEndpoints(c, map[string]*testcluster.Endpoint{}, "s1-a", "plain-a", "plain-b")
	s := &crowdSoak{processSoak: &processSoak{
		Processes: testcluster.NewProcesses(t, c),
		fronts:    *crowdFronts,
		busy:      map[int]bool{},
		troubles:  map[string]int{},
	}}
	s.judge = testcluster.NewRefusalJudge(c)
	for n := 1; n <= 3; n++ {
		s.StartProcess(n, true, 1, 2, 3)
	}
	for n := firstFront; n <= c.LastFront; n++ {
		s.StartProcess(n, true, 1, 2, 3)
	}
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationWithLimits(1, testcluster.PageLimits, "s1"))
		return status == http.StatusOK
	})
	s.awaitFronts("serves before any crowd")
	c.TakeArrivals()
	return s
}

// awaitFronts waits until every front answers an ordinary request.
func (s *crowdSoak) awaitFronts(what string) {
	s.T.Helper()
	for n := firstFront; n < firstFront+s.fronts; n++ {
		s.Eventually(fmt.Sprintf("front %d %s", n, what), func() bool {
			return s.RequestStatus(n, "GET", "/p/x", "", "await") == http.StatusOK
		})
	}
}

// startOrdinaryClients has clients ask the fronts, on connections that half of
// them go on using after an answer that announced their end.
func (s *crowdSoak) startOrdinaryClients(seed uint64) (stop func()) {
	clients := make([]*testcluster.KeyedClient, processClients)
	draws := make([]*rand.Rand, processClients)
	for i := range clients {
		clients[i] = s.NewKeyedClient(firstFront + i*s.fronts/processClients)
		clients[i].Stubborn = i%2 == 0
		draws[i] = rand.New(rand.NewPCG(seed, 100+uint64(i)))
	}
	stopAsking := testcluster.Repeat(processClients, func(i int) {
		draw := draws[i]
		method, path, body := "GET", "/p/x", ""
		switch draw.IntN(4) {
		case 0:
			method, path, body = "POST", "/u/x", fmt.Sprintf("%0*d", 1+draw.IntN(soakBodyBytes), draw.Uint32())
		case 1:
			path = "/g/x"
		}
		lines := ""
		if body != "" {
			lines = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		s.judge.Record(clients[i].Send(method, path, "", lines, body), body)
		time.Sleep(time.Duration(5+draw.IntN(25)) * time.Millisecond)
	})
	return func() {
		stopAsking()
		for _, client := range clients {
			client.Close()
		}
	}
}

// makeCrowds has one crowd after the other meet a listener drawn by lot.
func (s *crowdSoak) makeCrowds(draw *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		n := firstFront + draw.IntN(s.fronts)
		ports := []int{clientsPort, clientsPort, clientsPort, readinessPort, s.Port}
		if draw.IntN(6) == 0 {
			n, ports = 1+draw.IntN(3), []int{controlPort, s.Port}
		}
		address := net.JoinHostPort(s.IP(n), fmt.Sprint(ports[draw.IntN(len(ports))]))
		testcluster.Crowd(address, soakCrowdClients, crowdKinds[draw.IntN(len(crowdKinds))])
		s.mu.Lock()
		s.crowds++
		s.mu.Unlock()
	}
}

// changeLimits puts one configuration after the other, with other limits.
func (s *crowdSoak) changeLimits(draw *rand.Rand, end time.Time) {
	base := 1
	for version := base + 1; time.Now().Before(end); version += 1 + draw.IntN(3) {
		limits := testcluster.PageLimits
		if draw.IntN(2) == 0 {
			limits = narrowLimits
		}
		body := testcluster.ConfigurationWithLimits(version, limits, "s1")
		for status := 0; status != http.StatusOK && time.Now().Before(end); {
			status, _ = s.PutConfiguration(1+draw.IntN(3), "PUT", fmt.Sprint(base), body)
			time.Sleep(time.Duration(100+draw.IntN(400)) * time.Millisecond)
			if status == http.StatusOK {
				base = version
				s.mu.Lock()
				s.changes++
				s.mu.Unlock()
			}
		}
	}
}

// watchUsage looks at what the processes take, and whether one has ended though
// nobody ended it.
func (s *crowdSoak) watchUsage(end time.Time) {
	for time.Now().Before(end) {
		for _, n := range s.nodes() {
			usage, _ := s.Usage(n)
			if s.EndedByItself(n) {
				s.T.Errorf("the process of node %d ended by itself:\n%s", n, s.LastLog(n))
				return
			}
			s.peakMemoryMb = max(s.peakMemoryMb, usage.PeakMemoryMb)
			s.peakDescriptors = max(s.peakDescriptors, usage.Descriptors)
		}
		time.Sleep(usageInterval)
	}
}

func (s *crowdSoak) nodes() []int {
	nodes := []int{1, 2, 3}
	for n := firstFront; n < firstFront+s.fronts; n++ {
		nodes = append(nodes, n)
	}
	return nodes
}

// check checks what the processes took, and what became of the requests.
func (s *crowdSoak) check() {
	t := s.T
	if s.peakMemoryMb > soakMemoryMb || s.peakDescriptors > soakDescriptors-reservedDescriptors {
		t.Errorf("a process took %.0f MB and %d descriptors", s.peakMemoryMb, s.peakDescriptors)
	}
	s.awaitFronts("serves after the crowds")
	report := s.judge.Report()
	t.Logf("%+v; %d crowds, %d changes, troubles %v; peak %.0f MB, %d descriptors", report, s.crowds, s.changes, s.troubles, s.peakMemoryMb, s.peakDescriptors)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Served == 0 || s.crowds == 0 || s.changes == 0 {
		t.Error("the test shows nothing")
	}
}
