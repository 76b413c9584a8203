package transport

import "io"

// Peek implements network.Reader. Where no request is loaded it reads one; if
// that fails, the caller was told why and the connection ends.
func (c *serverConn) Peek(n int) ([]byte, error) {
	if !c.in.loaded {
		if err := c.in.load(); err != nil {
			return nil, c.endAfter(err)
		}
	}
	rest := c.in.rest()
	if len(*rest) < n {
		return *rest, io.ErrUnexpectedEOF
	}
	return (*rest)[:n], nil
}

// rest returns what is left of the present request's head, or else of its body.
func (r *requestReader) rest() *[]byte {
	if len(r.head) > 0 {
		return &r.head
	}
	return &r.body
}

// Skip implements network.Reader.
func (c *serverConn) Skip(n int) error {
	if n == 0 {
		return nil
	}
	if _, err := c.Peek(n); err != nil {
		return err
	}
	rest := c.in.rest()
	*rest = (*rest)[n:]
	return nil
}

// Len implements network.Reader: hertz takes the head as a whole, and then the
// body.
func (c *serverConn) Len() int { return len(*c.in.rest()) }

// Release implements network.Reader. The request was handled, and slices of its
// head must not be used any more.
func (c *serverConn) Release() error {
	c.releaseRequest()
	return nil
}

func (c *serverConn) releaseRequest() { c.in.release() }

// ReadByte implements network.Reader.
func (c *serverConn) ReadByte() (byte, error) {
	b, err := c.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary implements network.Reader.
func (c *serverConn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), b...)
	return out, c.Skip(n)
}

// Read implements net.Conn by way of the request that is loaded.
func (c *serverConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := c.Peek(1); err != nil {
		return 0, err
	}
	n := copy(p, *c.in.rest())
	return n, c.Skip(n)
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	n, err := c.WriteBinary(p)
	if err != nil {
		return 0, err
	}
	return n, c.Flush()
}
