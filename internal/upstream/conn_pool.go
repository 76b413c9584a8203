package upstream

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// keepAliveShare is the part of the Keep-Alive timeout of an endpoint that is
// used: a request must arrive before the endpoint closes the connection.
const keepAliveShare = 0.8

// takeIdle removes and returns the connection that was idle longest: surplus
// bytes of an earlier response have had the most time to arrive there. It
// returns nil where there is none that was idle for minIdle.
func (p *Pool) takeIdle(e *Endpoint, now time.Time, minIdle time.Duration) *transport.Conn {
	for {
		p.mu.Lock()
		if len(e.idleConns) == 0 || now.Sub(e.idleConns[0].IdleSince) < minIdle {
			p.mu.Unlock()
			return nil
		}
		conn := e.idleConns[0]
		// Moving the few others keeps the array, which putIdle appends to.
		e.idleConns = slices.Delete(e.idleConns, 0, 1)
		p.mu.Unlock()
		reusable, unsolicited := conn.CheckIdle()
		if unsolicited {
			p.stopReuse(e, now)
		} else if reusable && now.Sub(conn.IdleSince) < conn.IdleTimeout {
			return conn
		}
		_ = conn.Close()
	}
}

// idleTimeout returns for how long a connection is kept after a response: as
// long as the response says, or by default.
func (p *Pool) idleTimeout(response *protocol.Response) time.Duration {
	if header := response.Header.Peek("Keep-Alive"); len(header) > 0 {
		if timeout, ok := keepAliveTimeout(string(header)); ok {
			return timeout
		}
	}
	return p.options.IdleTimeout
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(e *Endpoint, conn *transport.Conn, timeout time.Duration) {
	conn.IdleSince, conn.IdleTimeout = time.Now(), timeout
	p.keep(e, conn)
}

// putBack keeps a connection on which nothing was sent. One that was idle before
// has been so ever since: its endpoint closes it as soon as it said.
func (p *Pool) putBack(e *Endpoint, conn *transport.Conn, dialed bool) {
	if dialed {
		p.putIdle(e, conn, p.options.IdleTimeout)
		return
	}
	p.keep(e, conn)
}

// keep adds an idle connection to those of its endpoint, unless it may not be
// used again. They stay in the order in which they became idle.
func (p *Pool) keep(e *Endpoint, conn *transport.Conn) {
	now := time.Now()
	p.mu.Lock()
	if e.removed || now.Before(e.noReuseUntil) {
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	at := len(e.idleConns)
	for at > 0 && conn.IdleSince.Before(e.idleConns[at-1].IdleSince) {
		at--
	}
	e.idleConns = slices.Insert(e.idleConns, at, conn)
	p.mu.Unlock()
}

// keepAliveTimeout returns how long to keep a connection by the timeout
// parameter of a Keep-Alive header; of several the last counts.
func keepAliveTimeout(header string) (timeout time.Duration, ok bool) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			timeout, ok = time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)), true
		}
	}
	return timeout, ok
}

// stopReuse closes the idle connections of an endpoint that sent bytes which
// belong to no request, and for a while each new one carries one request only:
// more such bytes may be on their way on its other connections.
func (p *Pool) stopReuse(e *Endpoint, now time.Time) {
	p.mu.Lock()
	closing := e.idleConns
	e.idleConns, e.noReuseUntil = nil, now.Add(p.options.DecayTime)
	p.mu.Unlock()
	closeAll(closing)
	events.Log(events.UnsolicitedResponse, "searcher", e.ID)
}

// PruneIdle closes the connections that were idle for too long, and those beyond
// this node's connection limits.
func (p *Pool) PruneIdle(now time.Time) {
	var closing []*transport.Conn
	p.mu.Lock()
	for _, e := range p.endpoints {
		if len(e.idleConns) == 0 {
			continue
		}
		s := p.service(e.Service)
		limit := p.connectionLimit(e, s, p.subset(s, e.Version, now), now)
		kept := e.idleConns[:0]
		for i, conn := range e.idleConns {
			expired := now.Sub(conn.IdleSince) >= conn.IdleTimeout
			excess := limit >= 0 && len(e.inFlight)+len(e.idleConns)-i > limit
			if expired || excess {
				closing = append(closing, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		e.idleConns = kept
	}
	p.mu.Unlock()
	closeAll(closing)
}

// closeAll closes connections. It is called without the pool's lock.
func closeAll(conns []*transport.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
