package node

import (
	"fmt"
	"net"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/host"

	"google.golang.org/protobuf/proto"
)

// Hollow is many fronts in one process: they join, watch, report and hold
// tables like any, and no client comes. It shows what fronts cost huts.
type Hollow struct {
	nodes []*Node
}

// StartHollow runs n fronts with settings like those given, each with a name
// and an address of its own, from the given one on, and in one zone after the other.
func StartHollow(like *config.Settings, n int, o host.Options) (*Hollow, error) {
	var zones []string
	for z := range like.Zones {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	if len(zones) == 0 {
		zones = []string{like.Zone}
	}
	first := net.ParseIP(like.IpAddress).To4()
	if first == nil {
		return nil, fmt.Errorf("IpAddress %q is no IPv4 address", like.IpAddress)
	}
	h := &Hollow{}
	for i := range n {
		at := slices.Clone(first)
		x := int(at[2])<<8 + int(at[3]) + i
		at[2], at[3] = byte(x>>8), byte(x)
		s := proto.Clone(like).(*config.Settings)
		s.NodeName, s.IpAddress, s.Zone = fmt.Sprintf("%s-%d", like.NodeName, i), at.String(), zones[i%len(zones)]
		if r, ok := like.Zones[s.Zone]; ok {
			s.Region = r
		}
		for _, a := range []*string{&s.ListenAddresses.FrontAddress, &s.ListenAddresses.ReadinessAddress} {
			_, port, err := net.SplitHostPort(*a)
			if err != nil {
				return h, err
			}
			*a = net.JoinHostPort(s.IpAddress, port)
		}
		node, err := Open(s, "", o)
		if err != nil {
			return h, err
		}
		if !node.Start() {
			return h, fmt.Errorf("%s does not listen", s.IpAddress)
		}
		h.nodes = append(h.nodes, node)
	}
	return h, nil
}

// Ready counts the fronts that are ready, and those that hold a version and a table.
func (h *Hollow) Ready(version int64, table endpoints.Stamp) (ready, current int) {
	for _, n := range h.nodes {
		if n.front.Ready() {
			ready++
		}
		heldVersion, heldTable := n.front.Progress()
		if heldVersion >= version && !heldTable.Before(table) {
			current++
		}
	}
	return ready, current
}

// Newest is the newest version and table that any of the fronts holds.
func (h *Hollow) Newest() (version int64, table endpoints.Stamp) {
	for _, n := range h.nodes {
		heldVersion, heldTable := n.front.Progress()
		version = max(version, heldVersion)
		if table.Before(heldTable) {
			table = heldTable
		}
	}
	return version, table
}

// Stop ends all fronts at once.
func (h *Hollow) Stop() {
	for _, n := range h.nodes {
		n.Close()
	}
	time.Sleep(10 * time.Millisecond)
}
