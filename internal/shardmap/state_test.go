package shardmap

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/tracetest"
)

// minTraces is how many traces there are at least.
const minTraces = 8

func TestTraces(t *testing.T) {
	options := Options{SlotsPerShard: 2, MinReady: 2, LeaseDuration: time.Second, SwitchWait: 1200 * time.Millisecond}
	tracetest.Play(t, minTraces, func() func([]string) error {
		return (&player{state: New(options)}).play
	})
}

// player plays a trace against a state.
type player struct {
	state *State
	table *endpoints.Table
}

// play carries out one step. It begins with the time in milliseconds.
func (p *player) play(step []string) error {
	ms, err := strconv.Atoi(step[0])
	if err != nil {
		return err
	}
	now := time.Duration(ms) * time.Millisecond
	s, arg := p.state, step[2:]
	switch step[1] {
	case "endpoints": // endpoints SHARD[@VERSION]:ID,ID! SHARD:... (! drains, * is warming up)
		p.table, _ = endpoints.NextTable(p.table, parseEndpoints(arg), endpoints.Stamp{Epoch: 1, Sequence: int64(ms) + 1})
		s.OnEndpoints(p.table, now)
	case "built": // built VERSION SHARDS AGE in-force|pending
		return playBuilt(s, arg, now)
	case "versions": // versions SHARD:V1,V2 ... (the one in force first)
		versions := map[string][]string{}
		for _, a := range arg {
			shard, list, _ := strings.Cut(a, ":")
			versions[shard] = strings.Split(list, ",")
		}
		s.SetVersions(versions, now)
	case "answered": // answered ID
		s.OnHealthy(arg[0], now)
	case "silent": // silent ID
		s.OnUnhealthy(arg[0], now)
	case "tick": // tick stays|switches|switches-unready
		return expect(arg[0], tick(s, now))
	case "holders": // holders SHARD [IDS]
		return expect(strings.Join(arg[1:], ""), strings.Join(s.Holders(arg[0]), ","))
	case "holders-of": // holders-of SHARD VERSION [IDS]
		return expect(strings.Join(arg[2:], ""), strings.Join(s.HoldersOfVersion(arg[0], arg[1]), ","))
	case "pointers": // pointers LAST-BUILT CURRENT NEXT (0 for none)
		next := int64(0)
		if s.Next != nil {
			next = s.Next.Version
		}
		return expect(strings.Join(arg, " "), fmt.Sprintf("%d %d %d", s.LastBuilt, s.Current.Version, next))
	default:
		return fmt.Errorf("unknown step %s", step[1])
	}
	return nil
}

func parseEndpoints(groups []string) []endpoints.Endpoint {
	var list []endpoints.Endpoint
	for _, group := range groups {
		shard, ids, _ := strings.Cut(group, ":")
		shard, version, _ := strings.Cut(shard, "@")
		for _, id := range strings.Split(ids, ",") {
			if id == "" {
				continue
			}
			list = append(list, endpoints.Endpoint{
				ID: strings.TrimRight(id, "!*"), Service: shard, Version: version,
				Draining: strings.HasSuffix(id, "!"), WarmingUp: strings.HasSuffix(id, "*"),
			})
		}
	}
	return list
}

func playBuilt(s *State, arg []string, now time.Duration) error {
	version, err := strconv.ParseInt(arg[0], 10, 64)
	if err != nil {
		return err
	}
	ageMs, err := strconv.Atoi(arg[2])
	if err != nil {
		return err
	}
	got := "pending"
	if s.OnBuilt(Layout{Version: version, Shards: strings.Split(arg[1], ",")}, time.Duration(ageMs)*time.Millisecond, now) {
		got = "in-force"
	}
	return expect(arg[3], got)
}

func tick(s *State, now time.Duration) string {
	switch switched, ready := s.Tick(now); {
	case !switched:
		return "stays"
	case !ready:
		return "switches-unready"
	}
	return "switches"
}

func expect(want, got string) error {
	if got != want {
		return fmt.Errorf("got %q", got)
	}
	return nil
}
