package upstream

import "strings"

// Headers that the system itself reads or writes.
const (
	// HeaderRequestID identifies a client's request; responses repeat it.
	HeaderRequestID = "Swiftswitch-Request-Id"
	// HeaderDeadline is how long the sender waits, in milliseconds.
	HeaderDeadline = "Swiftswitch-Deadline-Milliseconds"
	// HeaderServerStamp says which endpoint and version a response is from.
	HeaderServerStamp = "Swiftswitch-Server-Stamp"
	// HeaderExpectedInstance is the ID of the endpoint that a request is meant
	// for; another one rejects it with 421.
	HeaderExpectedInstance = "Swiftswitch-Expected-Instance"
	// HeaderServerLoad is an endpoint's load, see parseLoad.
	HeaderServerLoad = "Swiftswitch-Server-Load"
	// HeaderNotRun promises that the endpoint did not process the request.
	HeaderNotRun = "Swiftswitch-Not-Run"
	// HeaderInstanceID is the ID of the endpoint that responds.
	HeaderInstanceID = "Swiftswitch-Instance-Id"
	// HeaderPartStamps holds the stamps of the shards' responses.
	HeaderPartStamps = "Swiftswitch-Part-Stamps"
	// HeaderTenantName tells an endpoint the tenant whose request it processes. It
	// is never taken from a client.
	HeaderTenantName = "Swiftswitch-Tenant-Name"
	// HeaderAPIKey bears a client's key. Endpoints don't see it where the
	// configuration has tenants.
	HeaderAPIKey = "X-Api-Key"
	// HeaderMissingParts is how many shards a partial response lacks.
	HeaderMissingParts = "Swiftswitch-Missing-Parts"
)

// Lower-case names of headers, as the parser compares them.
const (
	lowerRequestID        = "swiftswitch-request-id"
	lowerDeadline         = "swiftswitch-deadline-milliseconds"
	lowerExpectedInstance = "swiftswitch-expected-instance"
	lowerTenantName       = "swiftswitch-tenant-name"
	lowerAPIKey           = "x-api-key"
	lowerSystemPrefix     = "swiftswitch-"
	lowerHost             = "host"
	lowerContentLength    = "content-length"
	lowerTransferEncoding = "transfer-encoding"
	lowerConnection       = "connection"
)

// hopByHop holds the lower-case names of the headers that concern one connection
// only (RFC 9110, section 7.6.1), and of those that each hop writes anew.
var hopByHop = map[string]bool{
	lowerConnection:       true,
	lowerContentLength:    true,
	"expect":              true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	lowerTransferEncoding: true,
	"upgrade":             true,
}

// IsHopByHop reports whether a header concerns one connection only.
func IsHopByHop(name string) bool { return hopByHop[strings.ToLower(name)] }
