package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"swiftswitch/internal/events"
)

// readBufferBytes is the size of the buffer that each connection holds.
const readBufferBytes = 2048

// ErrStopped is the error of Listen when it was stopped before it could listen.
var ErrStopped = errors.New("stopped before listening")

func init() { hlog.SetLevel(hlog.LevelFatal) }

// ServerOptions are the limits of one listener.
type ServerOptions struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// ReadTimeout bounds the reading of a request, from the accepted
	// connection on or from the request's first byte.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may rest between requests.
	IdleTimeout time.Duration
	// TCPUserTimeout is after how long without an acknowledgement a connection
	// is broken.
	TCPUserTimeout time.Duration
	// Timeouts, where set, is called for each read in place of ReadTimeout and
	// IdleTimeout.
	Timeouts func() (read, idle time.Duration)
	// Tracker, where set, tracks the connections; those that rest are ended
	// where there is no descriptor left for a new one.
	Tracker *ConnTracker
}

// Listen opens a listening socket on addr (host:port). While that fails, it
// logs why and retries after each retryInterval; once stop is closed it fails
// with ErrStopped.
func Listen(addr string, tcpUserTimeout, retryInterval time.Duration, stop <-chan struct{}) (net.Listener, error) {
	listenConfig := &net.ListenConfig{Control: controlTCPUserTimeout(tcpUserTimeout), KeepAlive: -1}
	for {
		listener, err := listenConfig.Listen(context.Background(), "tcp4", addr)
		if err == nil {
			return listener, nil
		}
		events.Log(events.ListenFailed, "addr", addr, "err", err)
		select {
		case <-stop:
			return nil, ErrStopped
		case <-time.After(retryInterval):
		}
	}
}

// Serve starts a server on listener, whose every request goes to handle. Paths
// aren't normalised, nothing is added to responses, and no body is touched. The
// context that handle is given belongs to the connection: CallerFrom returns
// its Caller. The server ends with its listener.
func Serve(listener net.Listener, options ServerOptions, handle app.HandlerFunc) *server.Hertz {
	tracker := options.Tracker
	if tracker == nil {
		tracker = &ConnTracker{}
	}
	listener = &trackedListener{
		Listener: listener,
		tracker:  tracker,
		hangups:  &hangupWatcher{},
		endsIdle: options.Tracker != nil,
		timeouts: options.Timeouts,
	}
	if options.Timeouts != nil {
		options.ReadTimeout, options.IdleTimeout = readPlaceholder, idlePlaceholder
	}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(options.MaxHeaderBytes),
		server.WithMaxRequestBodySize(options.MaxBodyBytes),
		server.WithReadTimeout(options.ReadTimeout),
		server.WithKeepAliveTimeout(options.ReadTimeout),
		server.WithIdleTimeout(options.IdleTimeout),
		server.WithReadBufferSize(readBufferBytes),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
		server.WithOnAccept(func(conn net.Conn) context.Context {
			setTCPUserTimeoutOn(conn, options.TCPUserTimeout)
			_ = conn.SetReadDeadline(time.Now().Add(options.ReadTimeout))
			return conn.(*trackedConn).caller.handlerContext()
		}),
	)
	h.NoRoute(handle)
	h.NoMethod(handle)
	go func() {
		if err := h.Engine.Run(); err != nil && !errors.Is(err, net.ErrClosed) {
			events.Log(events.ServerEnded, "addr", listener.Addr(), "err", err)
		}
	}()
	return h
}
