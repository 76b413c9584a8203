package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"golang.org/x/sys/unix"
)

// reader is a buffer over a connection in the shape that hertz parses from.
type reader struct {
	c    net.Conn
	buf  []byte
	r, w int
	// skipped is what the last Skip passed over.
	skipped []byte
}

func (b *reader) fill(n int) error {
	if b.r > 0 && (b.r == b.w || len(b.buf)-b.r < n) {
		copy(b.buf, b.buf[b.r:b.w])
		b.w -= b.r
		b.r = 0
	}
	if len(b.buf) < n {
		nb := make([]byte, max(n, 2*len(b.buf), 2048))
		copy(nb, b.buf[:b.w])
		b.buf = nb
	}
	for b.w-b.r < n {
		m, err := b.c.Read(b.buf[b.w:])
		b.w += m
		if err != nil && b.w-b.r < n {
			return err
		}
	}
	return nil
}

func (b *reader) Peek(n int) ([]byte, error) {
	if b.w-b.r < n {
		if err := b.fill(n); err != nil {
			return b.buf[b.r:b.w], err
		}
	}
	return b.buf[b.r : b.r+n], nil
}

func (b *reader) Skip(n int) error {
	p, err := b.Peek(n)
	if err != nil {
		return err
	}
	b.skipped = p
	b.r += n
	return nil
}

func (b *reader) Release() error { return nil }
func (b *reader) Len() int       { return b.w - b.r }

func (b *reader) ReadByte() (byte, error) {
	p, err := b.Peek(1)
	if err != nil {
		return 0, err
	}
	b.r++
	return p[0], nil
}

func (b *reader) ReadBinary(n int) ([]byte, error) {
	p, err := b.Peek(n)
	if err != nil {
		return nil, err
	}
	b.r += n
	return append([]byte(nil), p...), nil
}

// Conn is one connection that carries one request at a time.
type Conn struct {
	net.Conn
	in reader
	// IdleSince is when it was last put aside, IdleFor how long the peer keeps it.
	IdleSince   time.Time
	IdleTimeout time.Duration
}

// controlTCPUserTimeout sets TCP_USER_TIMEOUT, so that a peer that fell silent is noticed.
func controlTCPUserTimeout(userTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { setUserTimeout(fd, userTimeout) })
	}
}

func setUserTimeout(fd uintptr, d time.Duration) {
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
}

// Dial opens a connection within the time given.
func Dial(addr string, timeout, userTimeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: controlTCPUserTimeout(userTimeout), KeepAlive: -1}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	rc := &Conn{Conn: c}
	rc.in.c = c
	return rc, nil
}

// ErrUnsolicited says that bytes came which belong to no request.
var ErrUnsolicited = errors.New("bytes that belong to no request")

// ErrNoBodyLength says that an answer has no stated end, so that it can't be known to be whole.
var ErrNoBodyLength = errors.New("answer without a stated end")

// ErrAmbiguousFraming says that an answer's end is in doubt.
var ErrAmbiguousFraming = errors.New("answer whose end is in doubt")

// framed tells whether a head states the answer's end at most once, and in
// lines that can be read in one way only.
func framed(head []byte) bool {
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	ends := 0
	for len(rest) > 0 {
		var l []byte
		l, rest, _ = bytes.Cut(rest, []byte("\n"))
		if l = bytes.TrimSuffix(l, []byte("\r")); len(l) == 0 {
			continue
		}
		name, _, ok := bytes.Cut(l, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.IndexByte(l, 0) >= 0 || bytes.IndexByte(l, '\r') >= 0 {
			return false
		}
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			ends++
		}
	}
	return ends <= 1
}

// Exchange sends one request and reads its answer. sent tells whether any
// byte may have gone out. After an error the connection must be closed.
func (c *Conn) Exchange(request []byte, deadline time.Time, head bool, maxBody int, out *protocol.Response) (sent bool, err error) {
	if c.in.Len() > 0 {
		return false, ErrUnsolicited
	}
	if err := c.SetDeadline(deadline); err != nil {
		return false, err
	}
	n, err := c.Write(request)
	if err != nil {
		return n > 0, err
	}
	out.SkipBody = head
	for {
		if err := resp.ReadHeader(&out.Header, &c.in); err != nil {
			return true, err
		}
		if !framed(c.in.skipped) {
			return true, ErrAmbiguousFraming
		}
		code := out.Header.StatusCode()
		if code >= 200 && code <= 599 {
			break
		}
		if code != 100 && code != 102 && code != 103 {
			return true, errors.New("status is no status")
		}
	}
	if !out.Header.IsHTTP11() {
		return true, errors.New("answer is not HTTP/1.1")
	}
	if !head && out.Header.ContentLength() == -2 && !out.Header.MustSkipContentLength() {
		return true, ErrNoBodyLength
	}
	if err := resp.ReadRespBody(out, &c.in, maxBody); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return true, err
	}
	return true, nil
}

// HasUnsolicited tells whether more bytes came than the answer holds.
func (c *Conn) HasUnsolicited() bool { return c.in.Len() > 0 }

// Reusable tells whether a kept connection is still open with nothing to read.
func (c *Conn) Reusable() bool {
	quiet, _ := c.CheckIdle()
	return quiet
}

// CheckIdle tells whether a kept connection is still open with nothing to read,
// and if not, whether bytes came that belong to no request.
func (c *Conn) CheckIdle() (quiet, surplus bool) {
	if c.in.Len() > 0 {
		return false, true
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	// Not Read: it fails once the last exchange's deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet, surplus = e == unix.EAGAIN, n > 0
	})
	return err == nil && quiet, surplus
}
