package transport

import (
	"errors"
	"io"
	"time"
)

// pumpEndWait is how long a response that came waits for the pump of the body to
// end by itself: a peer answers the moment it has the last byte.
const pumpEndWait = 10 * time.Millisecond

// errPumpStopped: the body was not sent whole, since the response came before.
var errPumpStopped = errors.New("the response came before the body was sent")

// bodyPump sends the body of a request while the response is awaited: a peer may
// answer before it has read all.
type bodyPump struct {
	conn *Conn
	body *RequestBody
	done chan struct{}
	// err is set once done is closed: nil where all was sent.
	err error
}

// startPump begins to send a body.
func startPump(conn *Conn, body *RequestBody, deadline time.Time) *bodyPump {
	p := &bodyPump{conn: conn, body: body, done: make(chan struct{})}
	_ = body.SetDeadline(deadline)
	go p.run()
	return p
}

func (p *bodyPump) run() {
	defer close(p.done)
	p.err = p.copy()
	if errors.Is(p.err, ErrCallerBody) {
		// The peer would wait for the rest: its connection ends here.
		_ = p.conn.SetDeadline(aLongTimeAgo)
	}
}

func (p *bodyPump) copy() error {
	frame := newChunkFrame(p.body.Length() < 0)
	for {
		n, err := p.body.Read(frame.data())
		if n > 0 {
			if _, err := p.conn.Write(frame.bytes(n)); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = p.conn.Write(frame.end())
			return err
		}
		if err != nil {
			return err
		}
	}
}

// stop waits until the pump has ended, or breaks it off. It returns nil where the
// body was sent whole.
func (p *bodyPump) stop() error {
	timer := time.NewTimer(pumpEndWait)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timer.C:
	}
	p.body.interrupt()
	_ = p.conn.SetWriteDeadline(aLongTimeAgo)
	<-p.done
	if p.err != nil {
		return errPumpStopped
	}
	return nil
}
