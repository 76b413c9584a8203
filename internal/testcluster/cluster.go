package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/host"
	"swiftswitch/internal/node"
)

const (
	// portHost is the address, in a cluster's subnet, that finds a free port.
	portHost = 200
	// eventuallyTimeout is how long Eventually waits, eventuallyInterval how
	// often it looks.
	eventuallyTimeout  = 15 * time.Second
	eventuallyInterval = 20 * time.Millisecond
	// trialAfter is early: rollouts of tests have long durations, for slow
	// machines, and are to be tried soon all the same.
	trialAfter = 0.1
)

// Cluster is a whole deployment on loopback. Its methods fail the test where
// they can't do what they are for.
type Cluster struct {
	T *testing.T
	// Nodes are the running nodes, by number.
	Nodes map[string]*node.Node
	// ToleratedLosses is how many machines may be lost at once. It must be set
	// before nodes are started.
	ToleratedLosses int
	// TimeScale, where it is set, stretches all bounds and intervals of the
	// settings. LastFront, where it is set, is the greatest number of a front;
	// greater ones are those of cache nodes. Both must be set before nodes are
	// started.
	TimeScale float64
	LastFront int
	// RevocationMs, where it is set, is RevocationMs of the settings, before it is
	// stretched, with RevocationClosed. It must be set before nodes are started.
	RevocationMs float64
	// MemoryMb and FileDescriptors, where they are set, are the Limits of the
	// settings. They must be set before nodes are started.
	MemoryMb        float64
	FileDescriptors int
	// MetricsPort is the port of the nodes' metrics, 0 for none. It must be set
	// before nodes are started.
	MetricsPort int
	// Port is the nodes' port for other nodes.
	Port int

	subnet   string
	dataDirs map[int]string
	platform *httptest.Server

	// mu guards Endpoints, those on the discovery list by ID, and their states.
	mu        sync.Mutex
	Endpoints map[string]*Endpoint
	state     map[string]string
}

// clusterNumber makes the subnets of one process differ.
var clusterNumber = byte(10)

// New makes a cluster without nodes. It ends with the test.
func New(t *testing.T) *Cluster {
	clusterNumber++
	c := &Cluster{
		T:         t,
		Nodes:     map[string]*node.Node{},
		subnet:    fmt.Sprintf("127.%d.%d.", 7+os.Getpid()%240, clusterNumber),
		dataDirs:  map[int]string{},
		Endpoints: map[string]*Endpoint{},
		state:     map[string]string{},
	}
	c.Port = freePort(t, c.IP(portHost))
	c.platform = httptest.NewServer(http.HandlerFunc(c.serveDiscovery))
	t.Cleanup(c.close)
	return c
}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (c *Cluster) close() {
	for number := range c.Nodes {
		c.Kill(number)
	}
	c.platform.Close()
	for _, e := range c.Endpoints {
		e.Server.CloseClientConnections()
		e.Server.Close()
	}
}

// IP returns the address of node n.
func (c *Cluster) IP(n int) string { return fmt.Sprintf("%s%d", c.subnet, n) }

// StartNode starts node n. firstStart and seeds are FirstStart and the numbers
// of the SeedNodes in its settings. A node that ran before keeps its disk.
func (c *Cluster) StartNode(n int, firstStart bool, seeds ...int) *node.Node {
	c.T.Helper()
	options := host.DefaultOptions()
	options.Rollout.TrialAfter = trialAfter
	options.MetricsPort = c.MetricsPort
	if c.isCacheNode(n) {
		options.Role = host.RoleCache
	}
	started, err := node.Open(c.Settings(n, firstStart, seeds...), "", options)
	if err != nil {
		c.T.Fatal(err)
	}
	if err := started.Start(); err != nil {
		c.T.Fatal(err)
	}
	c.Nodes[strconv.Itoa(n)] = started
	return started
}

// Kill ends a node at once, without draining.
func (c *Cluster) Kill(number string) {
	n := c.Nodes[number]
	if n == nil {
		return
	}
	delete(c.Nodes, number)
	n.Close()
}

// Drain ends node n in order, as SIGTERM would.
func (c *Cluster) Drain(n int) {
	node := c.Nodes[strconv.Itoa(n)]
	if node == nil {
		return
	}
	delete(c.Nodes, strconv.Itoa(n))
	node.Drain()
}

// DataDir returns the data directory of node n, which survives its restarts.
func (c *Cluster) DataDir(n int) string {
	if c.dataDirs[n] == "" {
		c.ReplaceDisk(n)
	}
	return c.dataDirs[n]
}

// ReplaceDisk gives node n an empty disk for its next start.
func (c *Cluster) ReplaceDisk(n int) { c.dataDirs[n] = c.T.TempDir() }

// WipeDisk kills node n and gives it an empty disk.
func (c *Cluster) WipeDisk(n int) {
	c.Kill(strconv.Itoa(n))
	c.ReplaceDisk(n)
}

// Control returns the control server of node n.
func (c *Cluster) Control(n int) *control.Server { return c.Nodes[strconv.Itoa(n)].Control() }

// IsVoter reports whether node n has a vote, by what node observer knows.
func (c *Cluster) IsVoter(observer, n int) bool {
	return c.Control(observer).State().IsVoter(c.Control(n).ID())
}

// Eventually waits until condition holds, and fails the test if it does not in
// time.
func (c *Cluster) Eventually(what string, condition func() bool) {
	c.T.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(eventuallyInterval) {
		if condition() {
			return
		}
	}
	c.T.Fatalf("not in time: %s", what)
}
