package scatter

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"swiftswitch/internal/tracetest"
	"swiftswitch/internal/upstream"
)

func TestMerge(t *testing.T) {
	rec := func(c byte, n byte) []byte { return append(bytes.Repeat([]byte{c}, 15), n) }
	a := append(append(rec('b', 1), rec('a', 2)...), "rest"...)
	b := append(append(rec('b', 1), rec('c', 0)...), rec('b', 2)...)
	got := Merge([][]byte{a, b, nil}, 4)
	want := bytes.Join([][]byte{rec('c', 0), rec('b', 2), rec('b', 1), rec('b', 1)}, nil)
	if !bytes.Equal(got, want) {
		t.Fatalf("got %q", got)
	}
	if got := Merge([][]byte{rec(0xff, 0), rec(0x7f, 0xff)}, 9); got[0] != 0xff || len(got) != 32 {
		t.Fatalf("bytes are not compared unsigned: %x", got)
	}
	if got := Merge(nil, 3); len(got) != 0 {
		t.Fatalf("nothing merged to %q", got)
	}
}

// outcomes of a trace: ok:STAMP, 500, notrun, unsent, unknown.
func outcome(word string) upstream.Attempt {
	kind, stamp, _ := strings.Cut(word, ":")
	o := upstream.Attempt{Response: protocol.AcquireResponse(), Stamp: stamp}
	switch kind {
	case "ok":
		o.Status = 200
		o.Response.SetBody([]byte("own records"))
	case "nostamp":
		o.Status, o.Stamp = 200, ""
	case "500", "404":
		o.Status, _ = strconv.Atoi(kind)
		o.Stamp = "x"
	case "notrun":
		o.Outcome, o.Status = upstream.OutcomeUnprocessed, 503
	case "unsent":
		return upstream.Attempt{Outcome: upstream.OutcomeUnsent}
	case "unknown":
		return upstream.Attempt{Outcome: upstream.OutcomeUnknown}
	default:
		panic(word)
	}
	return o
}

func play(p **Query, f []string) error {
	leg := func(s string) int { n, _ := strconv.Atoi(s); return n }
	switch f[0] {
	case "party": // party LEGS ATTEMPTS safe|unsafe NEED LATE
		t := Policy{MaxAttempts: leg(f[2]), Idempotent: f[3] == "safe"}
		t.MinShare, _ = strconv.ParseFloat(f[4], 64)
		t.LateResponseValue, _ = strconv.ParseFloat(f[5], 64)
		var legs []*ShardRequest
		for i := 0; i < leg(f[1]); i++ {
			legs = append(legs, &ShardRequest{Service: fmt.Sprint("s", i)})
		}
		*p = NewQuery(t, legs)
	case "go":
		(*p).OnSent(leg(f[1]), &upstream.Endpoint{})
	case "nobody":
		(*p).OnSent(leg(f[1]), nil)
	case "group": // group LEGS STAMPS AGAIN ok|bad: "-" stands for a part that is not in
		var legs []int
		var stamps []string
		for _, x := range strings.Split(f[1], ",") {
			legs = append(legs, leg(x))
		}
		for _, x := range strings.Split(f[2], ",") {
			stamps = append(stamps, strings.TrimPrefix(x, "-"))
		}
		again, ok := (*p).OnRelayResult(legs, stamps, []byte("records"))
		got := strings.Trim(strings.ReplaceAll(fmt.Sprint(again), " ", ","), "[]")
		if got != strings.TrimPrefix(f[3], "-") || ok != (f[4] == "ok") {
			return fmt.Errorf("again %q, ok %v", got, ok)
		}
	case "bodies": // bodies N: how many parts bring records
		n := 0
		for _, l := range (*p).Shards {
			if l.Answered && len(l.Answer.Records()) > 0 {
				n++
			}
		}
		if n != leg(f[1]) {
			return fmt.Errorf("%d bodies", n)
		}
	case "passes": // passes LEG yes|no
		if got := (*p).Shards[leg(f[1])].CanForwardFailure(); got != (f[2] == "yes") {
			return fmt.Errorf("passes: %v", got)
		}
	case "gaveup":
		(*p).GiveUp(leg(f[1]))
	case "hear": // hear LEG OUTCOME again|wait
		step, _ := (*p).OnResult(leg(f[1]), outcome(f[2]))
		if (step == Retry) != (f[3] == "again") {
			return fmt.Errorf("step is %d", step)
		}
	case "may": // may LEG yes|no: a hedge
		if got := (*p).MayAttempt(leg(f[1])); got != (f[2] == "yes") {
			return fmt.Errorf("may: %v", got)
		}
	case "verdict": // verdict early|soft|hard open|success|failure
		over, ok := (*p).Decide(f[1] != "early", f[1] == "hard")
		got := "open"
		if over {
			got = map[bool]string{true: "success", false: "failure"}[ok]
		}
		if got != f[2] {
			return fmt.Errorf("verdict is %s", got)
		}
	default:
		return fmt.Errorf("unknown step %s", f[0])
	}
	return nil
}

func TestTraces(t *testing.T) {
	tracetest.Play(t, 8, func() func([]string) error {
		var p *Query
		return func(f []string) error { return play(&p, f) }
	})
}
