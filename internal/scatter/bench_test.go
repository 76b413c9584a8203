package scatter

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/upstream"
)

// BenchmarkGather gathers from more and more shards on loopback. The stand-ins
// for searchers run in this process, without allocations of their own: what
// the benchmark says of the processor is an upper bound for a front.
func BenchmarkGather(b *testing.B) {
	for _, n := range []int{8, 30, 120, 480, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchLegs(b, n) })
	}
}

// BenchmarkStateMachine drives the state machine alone through a request whose
// shards all answer, one of them after a retry.
func BenchmarkStateMachine(b *testing.B) {
	for _, n := range []int{8, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			peer := &upstream.Peer{}
			stamps := make([]string, n)
			services := make([]string, n)
			for i := range n {
				stamps[i], services[i] = fmt.Sprint("stamp", i), fmt.Sprint("s", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				legs := make([]*Leg, n)
				for i := range n {
					legs[i] = &Leg{Service: services[i]}
				}
				p := NewParty(Terms{Attempts: 2, Safe: true, Need: 1}, legs)
				for i := range n {
					p.Launched(i, peer)
				}
				if step, _ := p.Hear(0, upstream.Outcome{Verdict: upstream.Unknown}); step != Again {
					b.Fatal("no retry")
				}
				p.Launched(0, peer)
				for i := range n {
					p.Hear(i, upstream.Outcome{Status: 200, Stamp: stamps[i]})
					if over, ok := p.Verdict(false, false); over != (i == n-1) || over != ok {
						b.Fatal("not over with the last shard")
					}
				}
				p.Release()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/shard")
		})
	}
}

func benchLegs(b *testing.B, n int) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answer(c)
		}
	}()
	pool, _ := ants.NewPool(4096, ants.WithNonblocking(true))
	defer pool.Release()
	rng := upstream.New(upstream.Options{
		Distance: func(string) int { return 0 }, TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 20,
		IdleTimeout: time.Minute, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, TwoChoicesThreshold: 5, DecayTime: time.Second,
	})
	t := &endpoints.Table{}
	for i := range n {
		t.Endpoints = append(t.Endpoints, endpoints.Endpoint{ID: fmt.Sprint("i", i), Service: fmt.Sprint("s", i), Addr: ln.Addr().String(), Slots: 2, Ordinal: int64(i)})
	}
	rng.SetTable(t)
	born := time.Now()
	g := &Gatherer{Upstream: rng, RetryBudget: ratelimit.NewRetryBudget(ratelimit.BudgetOptions{Ratio: 1, Window: time.Second}, 0), Workers: pool, Now: func() time.Duration { return time.Since(born) }, HedgeAfter: 5}
	run := func(k int) {
		var legs []*ShardRequest
		for i := range n {
			legs = append(legs, &ShardRequest{Service: fmt.Sprint("s", i)})
		}
		req, err := upstream.NewRequest("GET", "/x", []byte(fmt.Sprintf("Host: a\r\nSwiftswitch-Request-Id: r%d\r\n", k)), nil)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		p := NewQuery(Policy{MaxAttempts: 1, Idempotent: true, MinShare: 1}, legs)
		if !g.Gather(p, req, Deadlines{Start: now, TargetLatency: time.Second, SoftDeadline: now.Add(9 * time.Second), HardDeadline: now.Add(10 * time.Second), ShardDeadline: now.Add(10 * time.Second)}, nil) {
			b.Fatalf("%d of %d parts are in", p.Answered(), n)
		}
		var bodies [][]byte
		for _, l := range p.Shards {
			bodies = append(bodies, l.Answer.Records())
		}
		Merge(bodies, 20)
		p.Release()
	}
	run(-1) // opens the connections
	b.ReportAllocs()
	b.ResetTimer()
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for k := range b.N {
		run(k)
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	cpu := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N)/float64(n), "us-cpu/leg")
}

// answer serves one connection with a part of 20 records for each request.
func answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	header := []byte("Swiftswitch-Expected-Instance: ")
	body := strings.Repeat("0123456789abcdef", 20)
	rest := fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var id, out []byte
	for k := int64(0); ; k++ {
		id = id[:0]
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				break
			}
			if v, ok := bytes.CutPrefix(line, header); ok {
				id = append(id, bytes.TrimSpace(v)...)
			}
		}
		out = append(out[:0], "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: "...)
		out = append(out, id...)
		out = append(out, '.')
		out = strconv.AppendInt(out, k, 10)
		out = append(out, rest...)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}
