package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// benchmarkPool is a pool of n endpoints of one service at one address, in three zones.
func benchmarkPool(b *testing.B, n int, addr string) *Pool {
	b.Helper()
	g := New(Options{
		Distance:       func(zone string) int { return int(zone[0] - '0') },
		TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 16, IdleTimeout: time.Minute,
		TwoChoicesThreshold: 5, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, DistancePenalty: 0.15, DecayTime: 3 * time.Second, NodeName: "front-0",
	})
	var list []endpoints.Endpoint
	for i := range n {
		list = append(list, endpoints.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "s", Zone: fmt.Sprint(i % 3), Addr: addr, Slots: 2})
	}
	table, _ := endpoints.NextTable(nil, list, endpoints.Stamp{Epoch: 1})
	g.SetTable(table)
	return g
}

func benchmarkPick(b *testing.B, limit int) {
	g := benchmarkPool(b, 100, "")
	g.SetConnectionLimit("s", limit)
	g.SetFrontCounts(FrontCounts{All: 300, Region: 100, Zone: 50})
	b.ReportAllocs()
	for b.Loop() {
		p, start := g.Pick(Selector{Service: "s"}, nil, 100*time.Millisecond, false)
		if p == nil {
			b.Fatal("no endpoint was picked")
		}
		g.CancelPick(p, start)
	}
}

// BenchmarkPick picks among 100 endpoints, each of which has connections for every front.
func BenchmarkPick(b *testing.B) { benchmarkPick(b, 1000) }

// BenchmarkPickSubset picks among 100 endpoints where fronts outnumber the
// connections of each, so that the subset has to be worked out.
func BenchmarkPickSubset(b *testing.B) { benchmarkPick(b, 250) }

// BenchmarkAttempt makes an attempt at a stand-in for a searcher over a connection that is kept.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	g := benchmarkPool(b, 1, listener.Addr().String())
	request, err := NewRequest("GET", "/a", []byte(lines), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		p, start := g.Pick(Selector{Service: "s"}, nil, time.Second, false)
		o := g.Do(p, request, start, time.Now().Add(time.Second))
		if !o.Succeeded() {
			b.Fatalf("%+v", o)
		}
		o.Release()
	}
}

// BenchmarkNewRequest parses a client's request.
func BenchmarkNewRequest(b *testing.B) {
	raw := []byte(lines + "Swiftswitch-Deadline-Milliseconds: 250\r\nAccept: */*\r\nUser-Agent: bench\r\nConnection: keep-alive\r\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewRequest("GET", "/a?q=1", raw, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// answerAll answers every request of a connection in the same way.
func answerAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := conn.Write([]byte(whole)); err != nil {
			return
		}
	}
}
