// Package trailhead is where clients arrive: the listener, the chain of
// filters a request passes, readiness, the drain at the end and the refusals
// under load. In the field's terms: the ingress of a reverse proxy.
package frontend
