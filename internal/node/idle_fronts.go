package node

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/host"

	"google.golang.org/protobuf/proto"
)

// IdleFronts are many fronts without clients in one process, to measure what
// fronts cost the control nodes: they join, watch, report and hold tables like
// any other.
type IdleFronts struct {
	nodes []*Node
}

// StartIdleFronts runs count fronts. Their settings are like those given, but
// each has a name of its own, an address of its own, counted up from the given
// one, and one zone after the other. On an error it returns those that run.
func StartIdleFronts(like *config.Settings, count int, options host.Options) (*IdleFronts, error) {
	zones := slices.Sorted(maps.Keys(like.Zones))
	if len(zones) == 0 {
		zones = []string{like.Zone}
	}
	fronts := &IdleFronts{}
	for i := range count {
		settings, err := idleFrontSettings(like, i, zones[i%len(zones)])
		if err != nil {
			return fronts, err
		}
		node, err := Open(settings, "", options)
		if err != nil {
			return fronts, err
		}
		if err := node.Start(); err != nil {
			return fronts, fmt.Errorf("%s does not listen: %w", settings.IpAddress, err)
		}
		fronts.nodes = append(fronts.nodes, node)
	}
	return fronts, nil
}

// idleFrontSettings returns the settings of front number index.
func idleFrontSettings(like *config.Settings, index int, zone string) (*config.Settings, error) {
	ip := net.ParseIP(like.IpAddress).To4()
	if ip == nil {
		return nil, fmt.Errorf("IpAddress %q is no IPv4 address", like.IpAddress)
	}
	// The last two bytes of the address are counted up.
	number := binary.BigEndian.Uint16(ip[2:])
	binary.BigEndian.PutUint16(ip[2:], number+uint16(index))

	settings := proto.Clone(like).(*config.Settings)
	settings.NodeName = fmt.Sprintf("%s-%d", like.NodeName, index)
	settings.IpAddress = ip.String()
	settings.Zone = zone
	if region, ok := like.Zones[zone]; ok {
		settings.Region = region
	}
	for _, address := range []*string{&settings.ListenAddresses.FrontAddress, &settings.ListenAddresses.ReadinessAddress} {
		_, port, err := net.SplitHostPort(*address)
		if err != nil {
			return nil, err
		}
		*address = net.JoinHostPort(settings.IpAddress, port)
	}
	return settings, nil
}

// Progress counts the fronts that are ready, and those that hold at least this
// version of the configuration and this endpoint table.
func (f *IdleFronts) Progress(version int64, table endpoints.Stamp) (ready, current int) {
	for _, n := range f.nodes {
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

// Newest returns the newest version and endpoint table that any front holds.
func (f *IdleFronts) Newest() (version int64, table endpoints.Stamp) {
	for _, n := range f.nodes {
		heldVersion, heldTable := n.front.Progress()
		version = max(version, heldVersion)
		if table.Before(heldTable) {
			table = heldTable
		}
	}
	return version, table
}

// stopDelay lets the fronts' goroutines notice that they are stopped.
const stopDelay = 10 * time.Millisecond

// Stop ends all fronts at once, without draining.
func (f *IdleFronts) Stop() {
	for _, n := range f.nodes {
		n.Close()
	}
	time.Sleep(stopDelay)
}
