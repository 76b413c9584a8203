package transport

import (
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// ResponseBody is the body of a response that is too large to be read before it is
// passed on. Its owner reads it and then calls Close.
type ResponseBody struct {
	bodyStream
	whole bool
	// onClose is called once, with whether the connection may carry another request.
	onClose func(reusable bool)
}

// OnClose sets what is called when the body is closed; reusable says whether all of
// it was read, so that the connection may carry another request.
func (b *ResponseBody) OnClose(f func(reusable bool)) { b.onClose = f }

// Close ends the reading of the body.
func (b *ResponseBody) Close() {
	if b.onClose != nil {
		b.onClose(b.whole)
		b.onClose = nil
	}
}

// Read implements io.Reader. It fails with io.EOF behind the last byte alone.
func (b *ResponseBody) Read(p []byte) (n int, err error) {
	n, err = b.next(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// ResponseWriter writes a response with a streamed body in place of hertz, which
// calls Finalize for it. It implements network.ExtWriter.
type ResponseWriter struct {
	caller   *Caller
	header   *protocol.ResponseHeader
	body     *ResponseBody
	deadline time.Time
}

// NewResponseWriter returns the writer of a response to the caller's present request,
// which closes the body.
func (c *Caller) NewResponseWriter(header *protocol.ResponseHeader, body *ResponseBody, deadline time.Time) *ResponseWriter {
	return &ResponseWriter{caller: c, header: header, body: body, deadline: deadline}
}

// Write implements network.ExtWriter. Nothing is written but the streamed body.
func (w *ResponseWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Flush implements network.ExtWriter.
func (w *ResponseWriter) Flush() error { return nil }

// Finalize implements network.ExtWriter: it writes the response. A body that ends
// before its time leaves a response that does not look complete, and ends the
// connection by the error.
func (w *ResponseWriter) Finalize() error {
	defer w.body.Close()
	conn := w.caller.conn
	w.header.SetContentLength(int(w.body.length))
	if err := resp.WriteHeader(w.header, conn); err != nil {
		return err
	}
	conn.tracker.budget.beginResponse(conn, streamBufferBytes)
	defer conn.beginIdle()
	head := conn.out
	conn.out = nil
	if err := conn.writePart(head, w.deadline); err != nil {
		return err
	}
	return w.copyBody(conn)
}

// copyBody writes the body through a buffer.
func (w *ResponseWriter) copyBody(conn *serverConn) error {
	frame := newChunkFrame(w.body.length == unknownLength)
	for {
		n, err := w.body.Read(frame.data())
		if n > 0 {
			if err := conn.writePart(frame.bytes(n), w.deadline); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return conn.writePart(frame.end(), w.deadline)
		}
		if err != nil {
			return err
		}
	}
}

// chunkFrame is the buffer of a streamed body, which leaves room for the lines around
// a chunk where the body goes on in chunks.
type chunkFrame struct {
	chunked bool
	buffer  []byte
}

// chunkSizeRoom is the room for the line with the size of a chunk of a buffer.
const chunkSizeRoom = len("ffffff\r\n")

func newChunkFrame(chunked bool) *chunkFrame {
	return &chunkFrame{chunked: chunked, buffer: make([]byte, streamBufferBytes)}
}

// data returns where the next data go.
func (f *chunkFrame) data() []byte {
	return f.buffer[chunkSizeRoom : len(f.buffer)-len("\r\n")]
}

// bytes returns what to write for so many bytes of data.
func (f *chunkFrame) bytes(n int) []byte {
	if !f.chunked {
		return f.buffer[chunkSizeRoom : chunkSizeRoom+n]
	}
	line := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
	begin := chunkSizeRoom - len(line)
	copy(f.buffer[begin:], line)
	return append(f.buffer[begin:chunkSizeRoom+n], "\r\n"...)
}

// end returns what to write behind the last data.
func (f *chunkFrame) end() []byte {
	if !f.chunked {
		return nil
	}
	return []byte("0\r\n\r\n")
}
