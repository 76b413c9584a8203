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

// play follows a trace whose lines begin with the time in milliseconds.
func play(b *State, table **endpoints.Table, f []string) error {
	ms, err := strconv.Atoi(f[0])
	if err != nil {
		return err
	}
	now := time.Duration(ms) * time.Millisecond
	switch f[1] {
	case "list": // list SHARD[@VERSION]:ID,ID! SHARD:... (! drains, * is cold)
		var l []endpoints.Endpoint
		for _, g := range f[2:] {
			shard, ids, _ := strings.Cut(g, ":")
			shard, version, _ := strings.Cut(shard, "@")
			for _, id := range strings.Split(ids, ",") {
				if id == "" {
					continue
				}
				l = append(l, endpoints.Endpoint{ID: strings.TrimRight(id, "!*"), Service: shard, Version: version, Draining: strings.HasSuffix(id, "!"), WarmingUp: strings.HasSuffix(id, "*")})
			}
		}
		*table, _ = endpoints.NextTable(*table, l, endpoints.Stamp{Epoch: 1, Sequence: int64(ms) + 1})
		b.OnEndpoints(*table, now)
	case "built": // built VERSION SHARDS AGE at-once|waits
		v, _ := strconv.ParseInt(f[2], 10, 64)
		age, _ := strconv.Atoi(f[4])
		once := b.OnBuilt(Layout{Version: v, Shards: strings.Split(f[3], ",")}, time.Duration(age)*time.Millisecond, now)
		if once != (f[5] == "at-once") {
			return fmt.Errorf("at once: %v", once)
		}
	case "versions": // versions SHARD:V1,V2 ... (the one in force first)
		m := map[string][]string{}
		for _, g := range f[2:] {
			shard, l, _ := strings.Cut(g, ":")
			m[shard] = strings.Split(l, ",")
		}
		b.SetVersions(m, now)
	case "of": // of SHARD VERSION IDS
		if got := strings.Join(b.HoldersOfVersion(f[2], f[3]), ","); got != strings.Join(f[4:], "") {
			return fmt.Errorf("holders of %s are %q", f[3], got)
		}
	case "tick": // tick stays|switches|switches-unready
		sw, ready := b.Tick(now)
		got := "stays"
		if sw {
			got = "switches"
			if !ready {
				got = "switches-unready"
			}
		}
		if got != f[2] {
			return fmt.Errorf("it %s", got)
		}
	case "silent":
		b.OnSilent(f[2], now)
	case "answered":
		b.OnAnswer(f[2], now)
	case "holders": // holders SHARD IDS
		want := ""
		if len(f) > 3 {
			want = f[3]
		}
		if got := strings.Join(b.Holders(f[2]), ","); got != want {
			return fmt.Errorf("holders are %q", got)
		}
	case "pointers": // pointers LASTBUILT CURRENT NEXT
		next := int64(0)
		if b.Next != nil {
			next = b.Next.Version
		}
		if got := fmt.Sprintf("%d %d %d", b.LastBuilt, b.Current.Version, next); got != strings.Join(f[2:5], " ") {
			return fmt.Errorf("pointers are %s", got)
		}
	default:
		return fmt.Errorf("unknown step %s", f[1])
	}
	return nil
}

func TestTraces(t *testing.T) {
	tracetest.Play(t, 7, func() func([]string) error {
		b := New(Options{SlotsPerShard: 2, MinReady: 2, LeaseDuration: time.Second, SwitchWait: 1200 * time.Millisecond})
		var table *endpoints.Table
		return func(f []string) error { return play(b, &table, f) }
	})
}
