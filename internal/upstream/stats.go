package upstream

import "time"

// Stats is a summary of the pool, as the node's status shows it.
type Stats struct {
	// OpenConnections counts connections, and attempts that may be opening one;
	// MaxPerEndpoint is the greatest number of these to one endpoint.
	OpenConnections int `json:"OpenConnections"`
	MaxPerEndpoint  int `json:"MaxPerEndpoint"`
	// Unhealthy counts the endpoints that don't answer this node,
	// ReportedUnreachable those that other nodes report.
	Unhealthy           int `json:"Unhealthy"`
	ReportedUnreachable int `json:"ReportedUnreachable"`
}

// Stats returns a summary of the pool.
func (p *Pool) Stats() Stats {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var stats Stats
	for _, e := range p.endpoints {
		open := len(e.idleConns) + len(e.inFlight)
		stats.OpenConnections += open
		stats.MaxPerEndpoint = max(stats.MaxPerEndpoint, open)
		if e.unhealthy {
			stats.Unhealthy++
		}
		if now.Before(e.reportedUntil) {
			stats.ReportedUnreachable++
		}
	}
	return stats
}

// UnhealthyCount returns how many endpoints of the table are unhealthy: they
// failed too often in a row, and have not succeeded since.
func (p *Pool) UnhealthyCount() int { return p.Stats().Unhealthy }
