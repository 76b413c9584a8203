package main

import (
	"fmt"
	"net"
	"sync"
)

// cutter stands between one machine and all others: every connection between
// nodes, to that machine and from it, passes through its proxies. While the cut
// lasts they pass nothing on, silently; when it heals, the connections of before
// are closed.
type cutter struct {
	mu     sync.Mutex
	isCut  bool
	healed chan struct{}
	conns  map[net.Conn]bool
}

// cutOff puts a machine behind proxies. It must be called after all machines were
// added, and before they start. The machine's process is told another port for
// the traffic between nodes than the others: where the others think it listens,
// and where it thinks that they listen, stand the proxies.
func (r *rig) cutOff(name string) (*cutter, error) {
	c := &cutter{conns: map[net.Conn]bool{}}
	own := r.nodes[name]
	port, err := freePort(own.ip)
	if err != nil {
		return nil, err
	}
	own.internalPort = port
	if err := c.proxy(address(own.ip, r.internalPort), address(own.ip, port)); err != nil {
		return nil, err
	}
	for _, other := range r.nodes {
		if other == own {
			continue
		}
		if err := c.proxy(address(other.ip, port), address(other.ip, r.internalPort)); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *cutter) proxy(listen, target string) error {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn, target)
		}
	}()
	return nil
}

// serve passes one connection on. One that was opened during the cut is held
// until it heals.
func (c *cutter) serve(client net.Conn, target string) {
	defer c.forget(client)
	if !c.register(client) {
		return
	}
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer c.forget(server)
	if !c.register(server) {
		return
	}
	done := make(chan struct{}, 2)
	go func() { c.pass(client, server); done <- struct{}{} }()
	go func() { c.pass(server, client); done <- struct{}{} }()
	<-done
}

// register notes a connection. It returns false, once the cut heals, for one that
// came during it.
func (c *cutter) register(conn net.Conn) bool {
	c.mu.Lock()
	c.conns[conn] = true
	cut, healed := c.isCut, c.healed
	c.mu.Unlock()
	if cut {
		<-healed
	}
	return !cut
}

func (c *cutter) forget(conn net.Conn) {
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

// pass copies until an end of the stream. What comes during the cut is held, and
// its connection ends when the cut heals.
func (c *cutter) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		cut, healed := c.isCut, c.healed
		c.mu.Unlock()
		if cut {
			<-healed
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut begins the cut.
func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut, c.healed = true, make(chan struct{})
}

// heal ends it. The connections of before are closed.
func (c *cutter) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCut {
		return
	}
	c.isCut = false
	for conn := range c.conns {
		_ = conn.Close()
	}
	close(c.healed)
}
