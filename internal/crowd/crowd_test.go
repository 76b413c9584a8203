// Package crowd_test has small processes meet callers that misbehave. Its tests
// measure memory: they run one at a time, and .ci/tests runs no others beside them.
package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

const (
	crowdFront = 11
	// crowdMemoryMb and crowdDescriptors are the Limits of a process that meets
	// a crowd, crowdClients how many clients that is.
	crowdMemoryMb    = 64
	crowdDescriptors = 700
	crowdClients     = 300
	// descriptorsKept of the process's are reserved for files.
	descriptorsKept = 200
	// usageInterval is how often the process is looked at.
	usageInterval = 20 * time.Millisecond
)

// Ports of the listeners of a node. testcluster.Cluster.Port is that for nodes.
const (
	clientsPort   = 8080
	readinessPort = 8081
	controlPort   = 8090
	metricsPort   = 8095
)

// crowdTest is a cluster of processes whose small front, or small control node,
// meets clients that misbehave.
type crowdTest struct {
	*testcluster.Processes
	t         *testing.T
	endpoints map[string]*testcluster.Endpoint
}

func startCrowdTest(t *testing.T) *crowdTest {
	t.Helper()
	return startCrowdTestWithLimits(t, testcluster.PageLimits)
}

// startCrowdTestWithLimits is startCrowdTest with other limits of clients.
func startCrowdTestWithLimits(t *testing.T, limits string) *crowdTest {
	t.Helper()
	c := testcluster.New(t)
	c.MemoryMb, c.FileDescriptors, c.MetricsPort = crowdMemoryMb, crowdDescriptors, metricsPort
	test := &crowdTest{t: t, endpoints: map[string]*testcluster.Endpoint{}}
	for service, id := range map[string]string{"s1": "s1-a", "plain": "plain-a"} {
		test.endpoints[id] = c.AddEndpoint(service, id)
	}
	test.Processes = testcluster.NewProcesses(t, c)
	test.StartProcess(1, true, 1)
	test.StartProcess(crowdFront, true, 1)
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(1, "PUT", "0", testcluster.ConfigurationWithLimits(3, limits, "s1"))
		return status == http.StatusOK
	})
	test.awaitOrdinaryRequests()
	return test
}

// awaitOrdinaryRequests waits until a small request, and one with a body, are
// answered.
func (c *crowdTest) awaitOrdinaryRequests() {
	c.t.Helper()
	c.Eventually("an ordinary request is answered", func() bool {
		return c.RequestStatus(crowdFront, "GET", "/p/x", "", "small") == http.StatusOK
	})
	body := make([]byte, 100<<10)
	c.Eventually("a request with a body is answered", func() bool {
		return c.RequestStatus(crowdFront, "POST", "/p/x", string(body), "large") == http.StatusOK
	})
}

// outlive has node n meet a crowd, and fails the test if its process ends, or
// takes more memory or descriptors than its limits.
func (c *crowdTest) outlive(n, port int, misbehave testcluster.Misbehaviour) {
	c.t.Helper()
	done, watched := make(chan struct{}), make(chan testcluster.Usage)
	go func() { watched <- c.watchUsage(n, done) }()
	opened := testcluster.Crowd(net.JoinHostPort(c.IP(n), fmt.Sprint(port)), crowdClients, misbehave)
	close(done)
	usage := <-watched
	c.t.Logf("%d connections opened; peak %.0f MB, %d descriptors", opened, usage.PeakMemoryMb, usage.Descriptors)
	if opened == 0 {
		c.t.Error("the crowd could open no connection")
	}
	if usage.PeakMemoryMb > crowdMemoryMb {
		c.t.Errorf("node %d took %.0f MB of %d", n, usage.PeakMemoryMb, crowdMemoryMb)
	}
	if usage.Descriptors > crowdDescriptors-descriptorsKept {
		c.t.Errorf("node %d held %d descriptors of %d", n, usage.Descriptors, crowdDescriptors-descriptorsKept)
	}
	if _, ok := c.Usage(n); !ok {
		c.t.Fatalf("the process of node %d is gone", n)
	}
	c.awaitOrdinaryRequests()
}

// watchUsage returns the most that the process of node n takes until done.
func (c *crowdTest) watchUsage(n int, done <-chan struct{}) (most testcluster.Usage) {
	for {
		usage, _ := c.Usage(n)
		most.PeakMemoryMb = max(most.PeakMemoryMb, usage.PeakMemoryMb)
		most.Descriptors = max(most.Descriptors, usage.Descriptors)
		select {
		case <-done:
			return most
		case <-time.After(usageInterval):
		}
	}
}

// outliveAtFront has a front meet a crowd at the address for clients.
func outliveAtFront(t *testing.T, misbehave testcluster.Misbehaviour) {
	t.Helper()
	startCrowdTest(t).outlive(crowdFront, clientsPort, misbehave)
}

// A front stays within its limits and answers others, whatever its clients send
// without end.
func TestFrontOutlivesEndlessHeads(t *testing.T) { outliveAtFront(t, testcluster.EndlessHead) }

func TestFrontOutlivesEndlessStartLines(t *testing.T) {
	outliveAtFront(t, testcluster.EndlessStartLine)
}

func TestFrontOutlivesEndlessFields(t *testing.T) { outliveAtFront(t, testcluster.EndlessField) }

func TestFrontOutlivesEmptyLines(t *testing.T) {
	test := startCrowdTest(t)
	test.outlive(crowdFront, clientsPort, testcluster.EmptyLines)
	test.outlive(crowdFront, clientsPort, testcluster.BareNewlines)
	test.outlive(crowdFront, clientsPort, testcluster.EmptyLinesAfter)
}

func TestFrontOutlivesTinyFields(t *testing.T) { outliveAtFront(t, testcluster.TinyFields) }

func TestFrontOutlivesHeadsByteByByte(t *testing.T) { outliveAtFront(t, testcluster.ByteByByte) }

func TestFrontOutlivesSmallChunks(t *testing.T) { outliveAtFront(t, testcluster.SmallChunks) }

func TestFrontOutlivesLargeChunks(t *testing.T) { outliveAtFront(t, testcluster.LargeChunks) }

func TestFrontOutlivesEndlessChunks(t *testing.T) { outliveAtFront(t, testcluster.EndlessChunks) }

func TestFrontOutlivesChunkLines(t *testing.T) {
	test := startCrowdTest(t)
	test.outlive(crowdFront, clientsPort, testcluster.EndlessExtension)
	test.outlive(crowdFront, clientsPort, testcluster.EndlessChunkSize)
	test.outlive(crowdFront, clientsPort, testcluster.EndlessChunkGap)
}

func TestFrontOutlivesTrailers(t *testing.T) { outliveAtFront(t, testcluster.EndlessTrailers) }

func TestFrontOutlivesAnnouncedLengths(t *testing.T) {
	outliveAtFront(t, testcluster.AnnouncedLength)
}

func TestFrontOutlivesAnnouncedChunks(t *testing.T) { outliveAtFront(t, testcluster.AnnouncedChunk) }

func TestFrontOutlivesBodiesShortOfTheirLength(t *testing.T) {
	outliveAtFront(t, testcluster.ShortOfLength)
}

func TestFrontOutlivesBodiesOverTheLimit(t *testing.T) {
	outliveAtFront(t, testcluster.BodyOverLimit)
}

// A front stays within its limits where clients leave its answers unread.
func TestFrontOutlivesUnreadResponses(t *testing.T) {
	test := startCrowdTest(t)
	test.endpoints["plain-a"].SetMode(testcluster.ModeLarge)
	test.outlive(crowdFront, clientsPort, testcluster.UnreadResponses)
}

// Connections alone take no descriptor that the front needs.
func TestFrontOutlivesConnections(t *testing.T) {
	test := startCrowdTest(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		testcluster.Crowd(net.JoinHostPort(test.IP(crowdFront), fmt.Sprint(clientsPort)), crowdDescriptors, testcluster.Silence)
	}()
	test.outlive(crowdFront, clientsPort, testcluster.Silence)
	<-done
}

// The other listeners of the processes keep to the limits as well.
func TestOtherListenersOutliveCrowds(t *testing.T) {
	for _, listener := range []struct {
		name    string
		n, port int
	}{
		{"readiness", crowdFront, readinessPort},
		{"metrics", crowdFront, metricsPort},
		{"nodes at the front", crowdFront, 0},
		{"operator", 1, controlPort},
		{"nodes at the control node", 1, 0},
	} {
		t.Run(listener.name, func(t *testing.T) {
			test := startCrowdTest(t)
			if listener.port == 0 {
				listener.port = test.Port
			}
			for _, misbehave := range []testcluster.Misbehaviour{
				testcluster.EndlessHead, testcluster.ByteByByte, testcluster.EmptyLines, testcluster.TinyFields,
				testcluster.SmallChunks, testcluster.BodyOverLimit, testcluster.EndlessChunks, testcluster.EndlessTrailers,
			} {
				test.outlive(listener.n, listener.port, misbehave)
			}
		})
	}
}

// While a crowd holds all that a front leaves for its clients, ordinary requests
// are answered.
func TestOrdinaryRequestsFindRoomBesideCrowds(t *testing.T) {
	test := startCrowdTest(t)
	address := net.JoinHostPort(test.IP(crowdFront), fmt.Sprint(clientsPort))
	for name, misbehave := range map[string]testcluster.Misbehaviour{
		"small chunks":      testcluster.SmallChunks,
		"announced lengths": testcluster.AnnouncedLength,
		"tiny fields":       testcluster.TinyFields,
		"silence":           testcluster.Silence,
	} {
		stop := testcluster.Repeat(2, func(int) { testcluster.Crowd(address, crowdClients, misbehave) })
		t.Log("beside", name)
		test.awaitOrdinaryRequests()
		stop()
	}
	if usage, ok := test.Usage(crowdFront); !ok || usage.PeakMemoryMb > crowdMemoryMb {
		t.Errorf("the front took %.0f MB of %d", usage.PeakMemoryMb, crowdMemoryMb)
	}
}

// Callers that put configurations as long as a message may be, none of which
// builds on the version in force, take no more than the limits either.
func TestControlNodeOutlivesLargeConfigurations(t *testing.T) {
	startCrowdTest(t).outlive(1, controlPort, testcluster.LargeConfigurations)
}

// Callers that leave metrics unread take no more than the limits either.
func TestFrontOutlivesUnreadMetrics(t *testing.T) {
	startCrowdTest(t).outlive(crowdFront, metricsPort, testcluster.UnreadMetrics)
}

// Bodies that are far greater than a message may be are served, several at once,
// within the memory of the process; so are callers that stop in the middle of them.
func TestFrontServesHugeBodies(t *testing.T) {
	test := startCrowdTestWithLimits(t, testcluster.HugeLimits)
	const clients, rounds = 6, 2
	body := strings.Repeat("b", 12<<20)
	for round := range rounds {
		var asking sync.WaitGroup
		for i := range clients {
			asking.Go(func() {
				if status := test.RequestStatus(crowdFront, "POST", "/u/x", body, fmt.Sprint("up", round, i)); status != http.StatusOK {
					t.Errorf("an upload was answered %d", status)
				}
			})
		}
		asking.Wait()
	}
	test.endpoints["plain-a"].SetMode(testcluster.ModeHuge)
	for range rounds {
		response, answer, _ := test.Request(crowdFront, "GET", "/p/x", "")
		if response.StatusCode != http.StatusOK || len(answer) != testcluster.HugeAnswerBytes {
			t.Errorf("a download was answered %d with %d bytes", response.StatusCode, len(answer))
		}
	}
	test.outlive(crowdFront, clientsPort, testcluster.UnreadResponses)
	test.endpoints["plain-a"].SetMode(testcluster.ModeNormal)
	test.outlive(crowdFront, clientsPort, testcluster.HugeBodyThatStops)
}
