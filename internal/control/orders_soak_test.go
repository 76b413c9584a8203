package control_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// For how long, and with which troubles, orders are given:
//
//	go test ./internal/control -run TestOrdersUnderTroubles -orders.time=10m -orders.seed=0 -timeout 0 -v
var (
	orderSoakTime = flag.Duration("orders.time", 25*time.Second, "how long TestOrdersUnderTroubles runs")
	orderSoakSeed = flag.Uint64("orders.seed", 1, "the seed of its orders and troubles; 0 draws one")
)

const (
	// soakOrderS is the duration of the orders: nothing serves their versions, so
	// each ends rolled back after it.
	soakOrderS = 0.4
	// soakTries is how often an operator sends one order.
	soakTries = 12
	// partitionedPort is the port between nodes that are cut off.
	partitionedPort = 1
)

// sentOrder is an order with all its copies.
type sentOrder struct {
	target string
	// first is when it was sent first, ended when its last call ended.
	first, ended time.Time
	// isNew: no copy of an equal order could be under way when it was sent.
	isNew        bool
	acknowledged bool
}

// orderSoak gives orders and changes the configuration while nodes have troubles.
type orderSoak struct {
	*testcluster.Cluster
	t *testing.T
	// acknowledge is AcknowledgeMs of the nodes.
	acknowledge time.Duration
	orders      []sentOrder
	// version is the last version that was acknowledged.
	version int

	// mu guards the nodes against each other's troubles, and what follows.
	mu       sync.Mutex
	troubles map[string]int
	// decided are the orders that any node knew as decided, by slot.
	decided map[int64]consensus.PastOrder
}

// Under troubles drawn by lot, one after the other and at once, an order that is
// acknowledged exists until a later one, a copy starts nothing, and a new order
// acts or is not acknowledged. Guards against orders that are lost after a 200.
func TestOrdersUnderTroubles(t *testing.T) {
	seed := *orderSoakSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Log("seed", seed)
	w := startThreeControlNodes(t)
	s := &orderSoak{
		Cluster:     w,
		t:           t,
		acknowledge: time.Duration(w.Control(1).Host().Settings().Bounds.AcknowledgeMs) * time.Millisecond,
		version:     3,
		troubles:    map[string]int{},
		decided:     map[int64]consensus.PastOrder{},
	}
	end := time.Now().Add(*orderSoakTime)
	stopObserving := testcluster.Repeat(1, func(int) {
		s.observe()
		time.Sleep(20 * time.Millisecond)
	})
	var running sync.WaitGroup
	running.Go(func() { s.giveOrders(rand.New(rand.NewPCG(seed, 1)), end) })
	running.Go(func() { s.changeConfigurations(rand.New(rand.NewPCG(seed, 2)), end) })
	for i := range 2 {
		running.Go(func() { s.makeTroubles(rand.New(rand.NewPCG(seed, 10+uint64(i))), end) })
	}
	running.Wait()
	stopObserving()
	s.check()
}

// observe notes the orders that the nodes know as decided.
func (s *orderSoak) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range s.Nodes {
		for _, order := range node.Control().State().PastOrders {
			s.decided[order.Slot] = order
		}
	}
}

// giveOrders gives one order after the other, until the end, some of them equal
// to one that was given lately.
func (s *orderSoak) giveOrders(draw *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.giveOrder(draw, fmt.Sprint("v", 2+draw.IntN(3)))
		time.Sleep(time.Duration(draw.IntN(1500)) * time.Millisecond)
	}
}

// giveOrder sends an order, and at times copies of it, until it is acknowledged
// or refused, within AcknowledgeMs.
func (s *orderSoak) giveOrder(draw *rand.Rand, target string) {
	order := sentOrder{target: target, first: time.Now(), isNew: true}
	for _, before := range s.orders {
		// Beyond this no copy of the one before is under way, nor counts as one.
		if before.target == target && order.first.Sub(before.ended) < 2*s.acknowledge {
			order.isNew = false
		}
	}
	body := fmt.Sprintf(`{"Service":"plain","TargetVersion":%q,"DurationS":%v}`, target, soakOrderS)
	copies := draw.IntN(3)
	for try := 0; try < soakTries && time.Since(order.first) < s.acknowledge; try++ {
		status, _ := s.Operate(1+draw.IntN(3), "POST", nodeapi.PathRollouts, "", body)
		switch status {
		case http.StatusOK:
			order.acknowledged = true
			copies--
		case 0, http.StatusServiceUnavailable:
		case http.StatusConflict:
			copies = -1
		default:
			s.t.Errorf("the order to %s: %d", target, status)
		}
		if copies < 0 {
			break
		}
		time.Sleep(time.Duration(20+draw.IntN(200)) * time.Millisecond)
	}
	order.ended = time.Now()
	s.orders = append(s.orders, order)
}

// changeConfigurations changes the configuration until the end, each version
// sent until it is acknowledged.
func (s *orderSoak) changeConfigurations(draw *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		body := testcluster.ConfigurationBody(s.version+1, "s1")
		status, answer := s.PutConfiguration(1+draw.IntN(3), "PUT", strconv.Itoa(s.version), body)
		switch status {
		case http.StatusOK:
			s.version++
		case 0, http.StatusServiceUnavailable:
		default:
			s.t.Errorf("version %d on %d: %d %s", s.version+1, s.version, status, answer)
		}
		time.Sleep(time.Duration(50+draw.IntN(400)) * time.Millisecond)
	}
}

// makeTroubles makes one trouble after the other until the end.
func (s *orderSoak) makeTroubles(draw *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.trouble(draw.IntN(5), 1+draw.IntN(3), time.Duration(100+draw.IntN(900))*time.Millisecond)
		// Some troubles follow at once, others once orders of before are retired.
		time.Sleep(time.Duration(draw.IntN(1+draw.IntN(12000))) * time.Millisecond)
	}
}

// trouble makes one trouble and undoes it.
func (s *orderSoak) trouble(kind, n int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := 1 + n%3
	switch kind {
	case 0:
		s.troubles["killed"]++
		s.restart(pause, n)
	case 1:
		s.troubles["two killed"]++
		s.restart(pause, n, other)
	case 2:
		s.troubles["all killed"]++
		s.restart(pause/4, 1, 2, 3)
	case 3:
		s.troubles["drained"]++
		s.Drain(n)
		s.StartNode(n, false, 1, 2, 3)
	case 4:
		s.troubles["cut off"]++
		s.UseInternalPort(partitionedPort, strconv.Itoa(n))
		time.Sleep(pause)
		// As the cut heals, the others go.
		s.restart(pause/2, other, 1+other%3)
		s.UseInternalPort(s.Port, strconv.Itoa(n))
	}
}

// restart kills nodes at once and starts them again after a pause.
func (s *orderSoak) restart(pause time.Duration, nodes ...int) {
	for _, n := range nodes {
		s.Kill(strconv.Itoa(n))
	}
	time.Sleep(pause)
	for _, n := range nodes {
		s.StartNode(n, false, 1, 2, 3)
	}
}

// check judges the orders once all nodes are back.
func (s *orderSoak) check() {
	s.Eventually("the configuration is read back", func() bool {
		status, body := s.PutConfiguration(2, "GET", "", "")
		if status == http.StatusOK && !slices.Contains([]string{testcluster.ConfigurationBody(s.version, "s1"), testcluster.ConfigurationBody(s.version+1, "s1")}, body) {
			s.t.Fatalf("version %d was acknowledged, and %s is read", s.version, body)
		}
		return status == http.StatusOK
	})
	var last consensus.Rollout
	s.Eventually("the last order is read back", func() bool {
		status, _ := s.Rollout(2)
		last, _ = s.Control(2).State().Rollout("plain")
		return status == http.StatusOK
	})
	s.observe()
	news, acknowledged := 0, 0
	for i, order := range s.orders {
		slots := s.slotsOf(order, i)
		switch {
		case len(slots) > 1:
			s.t.Errorf("the order to %s of %v started %d times, in slots %v", order.target, order.first.Format(time.StampMilli), len(slots), slots)
		case order.isNew && order.acknowledged && len(slots) == 0:
			s.t.Errorf("the order to %s of %v was acknowledged and started nothing", order.target, order.first.Format(time.StampMilli))
		}
		if order.acknowledged {
			acknowledged++
		}
		if order.isNew && order.acknowledged {
			news++
		}
	}
	for slot, order := range s.decided {
		if slot > last.OrderSlot {
			s.t.Errorf("the order to %s of slot %d is gone: the last one is of slot %d", order.TargetVersion, slot, last.OrderSlot)
		}
	}
	s.t.Logf("%d orders, %d acknowledged, %d of these new; %d decided; version %d; troubles %v", len(s.orders), acknowledged, news, len(s.decided), s.version, s.troubles)
	if news == 0 || len(s.decided) == 0 {
		s.t.Error("the test shows nothing")
	}
}

// slotsOf lists the slots that decided an order: those of equal orders that were
// proposed after its first sending, and before that of the next equal one. What
// was decided bears whole milliseconds, rounded down, and is compared by these.
func (s *orderSoak) slotsOf(order sentOrder, index int) (slots []int64) {
	until := time.Now()
	for _, next := range s.orders[index+1:] {
		if next.target == order.target {
			until = next.first.Truncate(time.Millisecond)
			break
		}
	}
	for slot, decided := range s.decided {
		at := time.UnixMilli(decided.OrderedAtMs)
		if decided.TargetVersion == order.target && !at.Before(order.first.Truncate(time.Millisecond)) && at.Before(until) {
			slots = append(slots, slot)
		}
	}
	return slots
}
