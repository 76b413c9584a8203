package testcluster

import (
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/transport"

	"google.golang.org/protobuf/proto"
)

// partitionIdleTimeout is how long a port that ListenOnPort opened keeps an idle
// connection.
const partitionIdleTimeout = 2 * time.Second

// UseInternalPort lets these nodes call others on another port. Together with
// ListenOnPort it partitions them from the rest.
func (c *Cluster) UseInternalPort(port int, numbers ...string) {
	for _, number := range numbers {
		settings := proto.Clone(c.Nodes[number].Settings()).(*config.Settings)
		settings.InternalPortRange = portRange(port)
		c.Nodes[number].SetSettings(settings)
	}
}

// ListenOnPort opens a further port of these nodes for the calls of others.
func (c *Cluster) ListenOnPort(port int, numbers ...string) {
	for _, number := range numbers {
		n := c.Nodes[number]
		settings := &config.Settings{InternalPortRange: portRange(port)}
		address := settings.InternalAddress(n.Settings().IpAddress)
		listener, err := transport.Listen(address, n.TCPUserTimeout(), n.Heartbeats(0.1), n.Stopping)
		if err != nil {
			c.T.Fatal(err)
		}
		transport.Serve(listener, n.ServerOptions(partitionIdleTimeout), n.HandleInternal)
		c.T.Cleanup(func() { _ = listener.Close() })
	}
}

func portRange(port int) []int32 { return []int32{int32(port), int32(port + 10)} }
