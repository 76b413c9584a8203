package transport

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// Conn is a client's connection that carries one request at a time. One
// goroutine at a time owns it.
type Conn struct {
	net.Conn
	in reader
	// IdleSince is when the owner put it aside last, IdleTimeout for how long
	// the peer keeps it open then. Conn itself uses neither.
	IdleSince   time.Time
	IdleTimeout time.Duration
	// streamed is the body of the last response where it is to be passed on as it
	// comes.
	streamed *ResponseBody
	// spent: a request was not sent whole, so that no other may follow.
	spent bool
}

// Outgoing is a request as it is sent.
type Outgoing struct {
	// Parts are the head, and the body if it is not streamed.
	Parts [][]byte
	// Body follows the parts, as it comes from its caller; nil for none.
	Body *RequestBody
	// IsHead: the request is a HEAD, whose response has no body.
	IsHead bool
	// MaxBodyBytes bounds the body of the response. BufferedBodyBytes, where it is
	// set, bounds what is read of it before Exchange returns: a larger one, of any
	// size, is left to TakeBody.
	MaxBodyBytes, BufferedBodyBytes int
}

// bufferedBytes bounds a body that is read before Exchange returns.
func (o *Outgoing) bufferedBytes() int {
	if o.BufferedBodyBytes > 0 {
		return o.BufferedBodyBytes
	}
	return o.MaxBodyBytes
}

// Dial opens a connection to addr (host:port) within timeout. tcpUserTimeout is
// after how long without an acknowledgement it is broken.
func Dial(addr string, timeout, tcpUserTimeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: controlTCPUserTimeout(tcpUserTimeout), KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, in: reader{conn: conn}}, nil
}

// Exchange sends a request and reads its response into out, skipping
// interim responses. A large body of a response counts as taken by the caller of
// ctx, if it has one. sent reports whether any byte may have gone out. Once ctx is canceled
// it fails, with the error of ctx. After an error the connection must be
// closed, which is how HTTP/1.1 tells the peer to stop.
func (c *Conn) Exchange(ctx context.Context, request *Outgoing, deadline time.Time, out *protocol.Response) (sent bool, err error) {
	if c.HasUnsolicited() {
		return false, ErrUnsolicited
	}
	if err := c.SetDeadline(deadline); err != nil {
		return false, err
	}
	if err := ctx.Err(); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) })
	sent, err = c.exchange(CallerFrom(ctx), request, deadline, out)
	if !stop() {
		// The deadline may still be about to change: the connection must not
		// be used again, even if the response is whole.
		return sent, ctx.Err()
	}
	return sent, err
}

// exchange is Exchange within the deadline that is set.
func (c *Conn) exchange(caller *Caller, request *Outgoing, deadline time.Time, out *protocol.Response) (sent bool, err error) {
	for _, part := range request.Parts {
		n, err := c.Write(part)
		sent = sent || n > 0
		if err != nil {
			return sent, err
		}
	}
	if request.Body == nil {
		return true, c.readResponse(caller, request, deadline, out)
	}
	pump := startPump(c, request.Body, deadline)
	err = c.readResponse(caller, request, deadline, out)
	pumpErr := pump.stop()
	c.spent = pumpErr != nil
	if errors.Is(pumpErr, ErrCallerBody) {
		return true, pumpErr
	}
	return true, err
}

// readResponse reads a response, but for a body that is streamed.
func (c *Conn) readResponse(caller *Caller, request *Outgoing, deadline time.Time, out *protocol.Response) error {
	out.SkipBody = request.IsHead
	if err := c.readHeader(out); err != nil {
		return err
	}
	if !out.Header.IsHTTP11() {
		return errNotHTTP11
	}
	if !request.IsHead && out.Header.ContentLength() == contentUntilClose && !out.Header.MustSkipContentLength() {
		return ErrNoBodyLength
	}
	err := c.readBody(caller, request, deadline, out)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// TakeBody returns the body of the last response if it is to be passed on as it
// comes, nil if it was read.
func (c *Conn) TakeBody() *ResponseBody {
	body := c.streamed
	c.streamed = nil
	return body
}

// Spent reports whether the last request was not sent whole, since its response
// came before.
func (c *Conn) Spent() bool { return c.spent }

// pooledBodyBytes is the size of the largest body in memory that is reused once
// its response is released. A larger one has memory of its own.
const pooledBodyBytes = 4 << 10

// KeepBody returns the body of a response of Exchange, valid after the response
// is released.
func KeepBody(response *protocol.Response) []byte {
	body := response.Body()
	if len(body) > pooledBodyBytes {
		return body
	}
	return append([]byte(nil), body...)
}

// chunkedLength is hertz's content length of a body in chunks.
const chunkedLength = -1

// readBody reads the body of a response, or begins to stream it. The memory for a
// large one is taken of the budget for the caller, if there is one, before it is
// read.
func (c *Conn) readBody(caller *Caller, request *Outgoing, deadline time.Time, out *protocol.Response) error {
	defer c.in.shrink()
	length, maxBytes := out.Header.ContentLength(), request.MaxBodyBytes
	switch {
	case out.MustSkipBody():
		return nil
	case length == chunkedLength:
		return c.readChunks(caller, request, deadline, out)
	case request.BufferedBodyBytes > 0 && length > request.BufferedBodyBytes:
		c.streamed = &ResponseBody{bodyStream: lengthStream(&c.in, int64(length))}
		return caller.takeResponse(streamBufferBytes, deadline)
	case length <= pooledBodyBytes || length > maxBytes:
		return resp.ReadRespBody(out, &c.in, maxBytes)
	}
	if err := caller.takeResponse(length, deadline); err != nil {
		return err
	}
	body := make([]byte, length)
	if err := c.in.readFull(body); err != nil {
		return err
	}
	out.SetBodyRaw(body)
	return nil
}

// readChunks reads a body in chunks, or begins to stream it where it turns out to
// be large.
func (c *Conn) readChunks(caller *Caller, request *Outgoing, deadline time.Time, out *protocol.Response) error {
	reserved := 0
	chunks := chunkReader{
		chunkDecoder: chunkDecoder{source: &c.in, maxBytes: int64(request.bufferedBytes()), maxTrailerBytes: maxResponseHeaderBytes},
		reserve: func(size int) error {
			more := size - reserved
			reserved = size
			return caller.takeResponse(more, deadline)
		},
		trustsSizes: true,
	}
	err := chunks.read()
	if errors.Is(err, errBodyTooLarge) && request.BufferedBodyBytes > 0 {
		c.streamed = &ResponseBody{bodyStream: chunkStream(&chunks, math.MaxInt64)}
		return caller.takeResponse(streamBufferBytes, deadline)
	}
	if err != nil {
		return err
	}
	out.SetBodyRaw(chunks.body)
	out.Header.SetContentLength(len(chunks.body))
	return nil
}

// maxResponseHeaderBytes bounds the head of a response.
const maxResponseHeaderBytes = 128 << 10

// readHeader reads the head of the final response.
func (c *Conn) readHeader(out *protocol.Response) error {
	c.in.limit = maxResponseHeaderBytes
	defer func() { c.in.limit = 0 }()
	for {
		if err := resp.ReadHeader(&out.Header, &c.in); err != nil {
			return err
		}
		if !framedOnce(c.in.skipped) {
			return ErrAmbiguousFraming
		}
		switch status := out.Header.StatusCode(); {
		case status >= 200 && status <= 599:
			return nil
		case status != http.StatusContinue && status != http.StatusProcessing && status != http.StatusEarlyHints:
			return errInvalidStatus
		}
	}
}

// HasUnsolicited reports whether more bytes were read than the response holds.
func (c *Conn) HasUnsolicited() bool { return c.in.Len() > 0 }

// Reusable reports whether an idle connection is open with nothing to read.
func (c *Conn) Reusable() bool {
	reusable, _ := c.CheckIdle()
	return reusable
}

// CheckIdle reports whether an idle connection is open with nothing to read,
// and whether bytes came that no request asked for. It doesn't block.
func (c *Conn) CheckIdle() (reusable, unsolicited bool) {
	if c.HasUnsolicited() {
		return false, true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	// Control and not Read, which fails once the last exchange's deadline has
	// passed.
	state := socketEnded
	err = raw.Control(func(fd uintptr) { state = peekSocket(int(fd)) })
	return err == nil && state == socketOpen, state == socketReadable
}
