// Package rope ties nodes together: HTTP/1.1 with JSON over kept
// connections, every step of them bounded in time. It holds the plain
// connection that traverse uses towards searchers, the client with which
// nodes call each other, and the server settings that all listeners share.
// In the field's terms: the RPC layer and HTTP transport.
package transport
