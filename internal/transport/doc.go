// Package transport carries calls between nodes, as HTTP/1.1 with JSON bodies
// over persistent connections, every step of them bounded in time.
//
// Client is what nodes call each other with, Conn the plain connection beneath
// it, which package upstream uses towards endpoints, and Serve the settings
// that all listeners share: it reads each request whole, within the limits of its
// listener, with memory taken of the process's Budget. A response whose end is in doubt is an error, and
// so are bytes that no request asked for: neither ever reaches another request.
package transport
