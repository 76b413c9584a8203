// Package fork finds the route of a request by host and longest path prefix,
// and picks a service where a route splits its traffic. In the field's
// terms: request routing and weighted traffic splitting.
package routing
