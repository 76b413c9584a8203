// Package frontend implements the HTTP handler of a front. A request passes a
// chain of filters, which pin it to a snapshot of the configuration, validate
// it, match its route, set its deadlines and at last forward it: to one
// endpoint, to all shards of a route, or to the cache. Under overload the
// handler sheds requests by priority, and while the node drains it lets those
// in flight end.
package frontend
