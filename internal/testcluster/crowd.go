package testcluster

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// PageLimits are the limits that the protocol page gives as an example.
const PageLimits = `{"HeaderSizeBytes":16384,"BodySizeBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

const (
	// crowdFlood is how much a client without end sends at most.
	crowdFlood = 2 << 20
	// pageHeaderBytes and pageBodyBytes are HeaderSizeBytes and BodySizeBytes of
	// PageLimits.
	pageHeaderBytes = 16 << 10
	pageBodyBytes   = 256 << 10
	// crowdHold is for how long the clients of a crowd keep their connections
	// once all of them have sent what they could; crowdTimeout is how long one
	// may take to send it.
	crowdHold    = 1500 * time.Millisecond
	crowdTimeout = 6 * time.Second
	// crowdDialers open connections at once.
	crowdDialers = 32
)

// Misbehaviour is what each client of a crowd does with its connection.
type Misbehaviour func(conn net.Conn)

// Crowd opens connections to an address, has each misbehave, and keeps all open
// until none has more to send and crowdHold is over. It returns how many it
// could open.
func Crowd(address string, clients int, misbehave Misbehaviour) (opened int) {
	var mu sync.Mutex
	var conns []net.Conn
	var running sync.WaitGroup
	dialing := make(chan struct{}, crowdDialers)
	for range clients {
		running.Go(func() {
			dialing <- struct{}{}
			conn, err := net.DialTimeout("tcp4", address, crowdTimeout)
			<-dialing
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
			misbehave(conn)
		})
	}
	running.Wait()
	time.Sleep(crowdHold)
	for _, conn := range conns {
		_ = conn.Close()
	}
	return len(conns)
}

// head is the start of a request with these further header lines, without its
// empty line.
func head(method, path, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: crowd%06d\r\n%s", method, path, requestNumber.Add(1), lines)
}

// write writes parts in turn and reports whether all went out.
func write(conn net.Conn, parts ...string) bool {
	for _, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			return false
		}
	}
	return true
}

// flood writes a part again and again, up to a number of bytes.
func flood(conn net.Conn, part string, size int) {
	const atOnce = 4 << 10
	block := bytes.Repeat([]byte(part), max(1, atOnce/len(part)))
	for sent := 0; sent < size; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// floodAfter sends a beginning, and then a part without end.
func floodAfter(begin, part string) Misbehaviour {
	return func(conn net.Conn) {
		if write(conn, begin) {
			flood(conn, part, crowdFlood)
		}
	}
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// The misbehaviours. Those without end go on until crowdFlood or until the
// connection ends.
var (
	EndlessHead      Misbehaviour = func(conn net.Conn) { floodAfter(head("GET", "/p/x", ""), "X-Filler: abcdefghijklmnop\r\n")(conn) }
	EndlessStartLine Misbehaviour = func(conn net.Conn) { floodAfter("GET /p/", "abcdefghijklmnop")(conn) }
	EndlessField     Misbehaviour = func(conn net.Conn) { floodAfter(head("GET", "/p/x", "X-Filler: "), "abcdefghijklmnop")(conn) }
	EmptyLines       Misbehaviour = func(conn net.Conn) { floodAfter("", "\r\n")(conn) }
	BareNewlines     Misbehaviour = func(conn net.Conn) { floodAfter("", "\n")(conn) }
	EmptyLinesAfter  Misbehaviour = func(conn net.Conn) { floodAfter(head("GET", "/p/x", "")+"\r\n", "\r\n")(conn) }
	EndlessExtension Misbehaviour = func(conn net.Conn) { floodAfter(head("POST", "/p/x", chunkedLine)+"\r\n1;", "a=b;")(conn) }
	EndlessChunkSize Misbehaviour = func(conn net.Conn) { floodAfter(head("POST", "/p/x", chunkedLine)+"\r\n", "0")(conn) }
	EndlessChunkGap  Misbehaviour = func(conn net.Conn) { floodAfter(head("POST", "/p/x", chunkedLine)+"\r\n1", " ")(conn) }
	EndlessTrailers  Misbehaviour = func(conn net.Conn) {
		floodAfter(head("POST", "/p/x", chunkedLine)+"\r\n0\r\n", "X-Trailer: abcdefghijklmnop\r\n")(conn)
	}
	EndlessChunks Misbehaviour = func(conn net.Conn) { floodAfter(head("POST", "/p/x", chunkedLine)+"\r\n", "1\r\na\r\n")(conn) }
	BodyOverLimit Misbehaviour = func(conn net.Conn) {
		floodAfter(head("POST", "/p/x", fmt.Sprintf("Content-Length: %d\r\n", crowdFlood))+"\r\n", "abcdefghijklmnop")(conn)
	}
)

// TinyFields sends whole requests whose head is full of fields as small as can
// be, and keeps the connection.
func TinyFields(conn net.Conn) {
	begin := head("GET", "/p/x", "")
	write(conn, begin+strings.Repeat("a:\r\n", (pageHeaderBytes-len(begin)-64)/4)+"\r\n")
}

// SmallChunks stops just short of the end of a body in chunks of one byte.
func SmallChunks(conn net.Conn) {
	if write(conn, head("POST", "/p/x", chunkedLine)+"\r\n") {
		flood(conn, "1\r\na\r\n", (pageBodyBytes-(8<<10))*len("1\r\na\r\n"))
	}
}

// LargeChunks stops just short of the end of a body in chunks of 64 KiB.
func LargeChunks(conn net.Conn) {
	const chunk = 64 << 10
	data := strings.Repeat("a", chunk)
	begin := head("POST", "/p/x", chunkedLine) + "\r\n"
	write(conn, begin, "10000\r\n"+data+"\r\n", "10000\r\n"+data+"\r\n", "10000\r\n"+data+"\r\n", "10000\r\n"+data[1:])
}

// AnnouncedLength announces the longest body that is allowed and sends little.
func AnnouncedLength(conn net.Conn) {
	write(conn, head("POST", "/p/x", fmt.Sprintf("Content-Length: %d\r\n", pageBodyBytes))+"\r\n", "a")
}

// AnnouncedChunk announces a chunk as long as a body may be and sends little.
func AnnouncedChunk(conn net.Conn) {
	write(conn, head("POST", "/p/x", chunkedLine)+"\r\n", "3ffff\r\n", "a")
}

// ShortOfLength stops one byte short of the length that it announced.
func ShortOfLength(conn net.Conn) {
	write(conn, head("POST", "/p/x", fmt.Sprintf("Content-Length: %d\r\n", pageBodyBytes))+"\r\n", strings.Repeat("a", pageBodyBytes-1))
}

// ByteByByte sends a head that is nearly as long as allowed in very small parts.
func ByteByByte(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	begin := head("GET", "/p/x", "")
	whole := begin + "X-Filler: " + strings.Repeat("a", pageHeaderBytes-len(begin)-64)
	for part := range strings.SplitSeq(whole, "") {
		if !write(conn, part) {
			return
		}
	}
}

// HugeLimits are limits that allow bodies as large as a process's whole memory.
const HugeLimits = `{"HeaderSizeBytes":16384,"BodySizeBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

// HugeBodyThatStops announces a body of 64 MiB and stops in the middle of it.
func HugeBodyThatStops(conn net.Conn) {
	if write(conn, head("POST", "/u/x", "Content-Length: 67108864\r\n")+"\r\n") {
		flood(conn, strings.Repeat("b", 64<<10), 2<<20)
	}
}

// UnreadResponses sends many requests at once and reads no answer.
func UnreadResponses(conn net.Conn) {
	const requests = 400
	for range requests {
		if !write(conn, head("GET", "/p/x", "")+"\r\n") {
			return
		}
	}
}

// Silence sends nothing.
func Silence(net.Conn) {}

// LargeConfigurations puts configurations as long as a message may be, which
// build on a version that there never was.
func LargeConfigurations(conn net.Conn) {
	body := LargeConfiguration(9)
	write(conn, head("PUT", "/-/configuration", fmt.Sprintf("If-Match: 8\r\nContent-Length: %d\r\n", len(body)))+"\r\n", body)
}

// LargeConfiguration is a configuration nearly as long as a message may be where
// MemoryMb is 64.
func LargeConfiguration(version int) string {
	const size = 1900 << 10
	var body strings.Builder
	fmt.Fprintf(&body, `{"Version":%d,"Routes":[`, version)
	for i := 0; body.Len() < size; i++ {
		if i > 0 {
			body.WriteString(",")
		}
		fmt.Fprintf(&body, `{"Name":"r%d","HostName":"h%d.example","PathPrefix":"/%d/","RouteKind":"safe","TimeoutMs":100,"Service":"s","Attempts":2}`, i, i, i)
	}
	body.WriteString(`],"Services":[{"Name":"s","HealthPath":"/health","ConnectionLimit":60}],"Limits":` + PageLimits + `}`)
	return body.String()
}

// UnreadMetrics asks for the metrics many times and reads no answer.
func UnreadMetrics(conn net.Conn) {
	const requests = 200
	for range requests {
		if !write(conn, head("GET", "/metrics", "")+"\r\n") {
			return
		}
	}
}
