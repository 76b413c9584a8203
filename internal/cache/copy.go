package cache

import (
	"strconv"
	"strings"
	"time"
)

// Field is one header line that is handed on.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// Object is a whole object as an origin served it. It is never changed once made.
type Object struct {
	Host, Target string
	// Service is where it came from.
	Service string
	Fields  []Field
	Body    []byte
	ETag    string
	Stamp   string
	Tags    []string
	// FetchedAt is when the fetch that last confirmed it began, on this node's steady clock.
	FetchedAt time.Duration
	// KnownPurge is the number of the last purge that was known when that fetch began.
	KnownPurge int64
}

// Key names an object; neither the case of the host nor a port counts.
func Key(host, target string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host) + "\n" + target
}

// Key names the copy's object.
func (c *Object) Key() string { return Key(c.Host, c.Target) }

// Size is about what the copy takes in memory.
func (c *Object) Size() int {
	n := 256 + len(c.Host) + len(c.Target) + len(c.Body) + len(c.ETag) + len(c.Stamp)
	for _, f := range c.Fields {
		n += 48 + len(f.Name) + len(f.Value)
	}
	return n
}

// IsFresh tells whether the copy may be served as far as its age goes.
func (c *Object) IsFresh(lifetime, now time.Duration) bool {
	return c != nil && now-c.FetchedAt <= lifetime
}

// Age is how long ago the copy was last confirmed.
func (c *Object) Age(now time.Duration) time.Duration { return max(0, now-c.FetchedAt) }

// Revalidated is the copy after the origin said that it still holds.
func (c *Object) Revalidated(born time.Duration, known int64) *Object {
	n := *c
	n.FetchedAt, n.KnownPurge = born, known
	return &n
}

// RequestConditions is what a client wants of an object.
type RequestConditions struct {
	Method, Range, IfRange, IfNoneMatch string
}

// Response is how a copy answers an Ask.
type Response struct {
	Status int
	Body   []byte
	// ContentRange is set for 206 and 416.
	ContentRange string
}

// Respond follows RFC 9110: the condition first, then the range. A range that
// can't be read, another unit than bytes or several ranges bring the whole.
func (c *Object) Respond(a RequestConditions) Response {
	if a.IfNoneMatch != "" && c.matches(a.IfNoneMatch) {
		return Response{Status: 304}
	}
	whole := Response{Status: 200, Body: c.Body}
	if a.Range == "" || a.Method != "GET" || a.IfRange != "" && (a.IfRange != c.ETag || strings.HasPrefix(c.ETag, "W/")) {
		return whole
	}
	from, to, ok := parseRange(a.Range, int64(len(c.Body)))
	if !ok {
		return whole
	}
	size := strconv.Itoa(len(c.Body))
	if from > to {
		return Response{Status: 416, ContentRange: "bytes */" + size}
	}
	return Response{
		Status: 206, Body: c.Body[from : to+1],
		ContentRange: "bytes " + strconv.FormatInt(from, 10) + "-" + strconv.FormatInt(to, 10) + "/" + size,
	}
}

func (c *Object) matches(list string) bool {
	if strings.TrimSpace(list) == "*" {
		return true
	}
	for _, t := range strings.Split(list, ",") {
		if t = strings.TrimSpace(t); t != "" && strings.TrimPrefix(t, "W/") == strings.TrimPrefix(c.ETag, "W/") {
			return true
		}
	}
	return false
}

// parseRange reads a single byte range; from > to is one that nothing satisfies.
func parseRange(h string, size int64) (from, to int64, ok bool) {
	unit, spec, found := strings.Cut(h, "=")
	if !found || !strings.EqualFold(strings.TrimSpace(unit), "bytes") || strings.Contains(spec, ",") {
		return 0, 0, false
	}
	first, last, found := strings.Cut(strings.TrimSpace(spec), "-")
	if !found {
		return 0, 0, false
	}
	if first == "" {
		n, err := digits(last)
		if err != nil {
			return 0, 0, false
		}
		if n == 0 || size == 0 {
			return 1, 0, true
		}
		return max(0, size-n), size - 1, true
	}
	from, err := digits(first)
	if err != nil {
		return 0, 0, false
	}
	to = size - 1
	if last != "" {
		n, err := digits(last)
		if err != nil || n < from {
			return 0, 0, false
		}
		to = min(to, n)
	}
	if from >= size {
		return 1, 0, true
	}
	return from, to, true
}

func digits(s string) (int64, error) {
	if s == "" || strings.TrimLeft(s, "0123456789") != "" {
		return 0, strconv.ErrSyntax
	}
	if len(s) > 18 {
		return 1 << 62, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

// HeaderTags holds the tags of an object, separated by spaces.
const HeaderTags = "Swiftswitch-Object-Tags"

// SplitTags reads them.
func SplitTags(v string) []string { return strings.Fields(v) }
