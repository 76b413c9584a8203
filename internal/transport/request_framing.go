package transport

import (
	"bytes"
	"strconv"
)

// startLineBlanks is how many blanks a start line has at least.
const startLineBlanks = 2

// noLength is the length of a request that announces none.
const noLength = -1

// headScanner looks for the end of a request's head in a buffer that grows.
type headScanner struct {
	// scanned is how much of the head was looked at, lineStart where its last
	// line begins.
	scanned, lineStart int
}

// scan returns the size of the head with the empty line that ends it, 0 if that
// is not there yet.
func (s *headScanner) scan(b []byte) (size int, err error) {
	if s.scanned == 0 && len(b) > 0 && !isTokenByte(b[0]) {
		return 0, refusedMalformed
	}
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return 0, nil
		}
		end := s.scanned + i
		line := trimReturn(b[s.lineStart:end])
		s.scanned, s.lineStart = end+1, end+1
		if len(line) == 0 {
			return s.scanned, nil
		}
	}
}

// requestFraming is what the head of a request says about its end.
type requestFraming struct {
	// length is the announced length, or noLength.
	length  int64
	chunked bool
	// expectsContinue: the caller waits for an interim response.
	expectsContinue bool
	// fields is how many fields the head has.
	fields int
}

// parseFraming reads the lines of a head. One that can be read in more than one
// way is refused: that is how requests are smuggled (RFC 9112, section 6.3).
func parseFraming(head []byte) (f requestFraming, err error) {
	f.length = noLength
	statements := 0
	startLine, rest, _ := bytes.Cut(head, newline)
	if bytes.Count(startLine, []byte(" ")) < startLineBlanks {
		return f, refusedMalformed
	}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, newline)
		line = trimReturn(line)
		if len(line) == 0 {
			continue
		}
		name, value, found := cutField(line)
		if !found {
			return f, refusedMalformed
		}
		f.fields++
		switch {
		case bytes.EqualFold(name, contentLengthName):
			statements++
			length, err := strconv.ParseUint(string(value), 10, 62)
			if err != nil {
				return f, refusedMalformed
			}
			f.length = int64(length)
		case bytes.EqualFold(name, transferEncodingName):
			statements++
			f.chunked = true
			if !bytes.EqualFold(value, []byte("chunked")) {
				return f, refusedMalformed
			}
		case bytes.EqualFold(name, expectName):
			f.expectsContinue = bytes.EqualFold(value, []byte("100-continue"))
		}
	}
	if statements > 1 {
		return f, refusedMalformed
	}
	return f, nil
}

var (
	newline              = []byte("\n")
	contentLengthName    = []byte("Content-Length")
	transferEncodingName = []byte("Transfer-Encoding")
	expectName           = []byte("Expect")
)

// needsRewriting reports whether hertz must see another head than the caller
// sent.
func (f *requestFraming) needsRewriting() bool { return f.chunked || f.expectsContinue }

// rewrite returns a head that announces a length in place of chunks, and expects
// no interim response. One that is to announce noLength says nothing of a body.
func (f *requestFraming) rewrite(head []byte, length int) []byte {
	out := make([]byte, 0, len(head)+minHeadRoom)
	rest := head
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, newline)
		if len(trimReturn(line)) == 0 {
			break
		}
		if name, _, found := cutField(line); found && isDropped(name, length) {
			continue
		}
		out = append(out, line...)
		out = append(out, '\n')
	}
	if f.chunked && length != noLength {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(length), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// isDropped reports whether a field is left out of a head that is rewritten.
func isDropped(name []byte, length int) bool {
	return bytes.EqualFold(name, transferEncodingName) || bytes.EqualFold(name, expectName) ||
		length == noLength && bytes.EqualFold(name, contentLengthName)
}

// minHeadRoom is the room for the length in a head that is rewritten.
const minHeadRoom = 48

// cutField splits a header line. found is false where it is none.
func cutField(line []byte) (name, value []byte, found bool) {
	name, value, found = bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || !IsToken(name) {
		return nil, nil, false
	}
	return name, bytes.Trim(value, " \t\r"), true
}

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for c := byte('!'); c < 0x7f; c++ {
		table[c] = bytes.IndexByte([]byte(`()<>@,;:\"/[]?={}`), c) < 0
	}
	return table
}()

func isTokenByte(c byte) bool { return tokenBytes[c] }

// IsToken reports whether b holds only the characters of a token (RFC 9110,
// section 5.6.2).
func IsToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return true
}

func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }
