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

// Copy is a whole object as an origin served it. It is never changed once made.
type Copy struct {
	Host, Target string
	// Service is where it came from.
	Service string
	Fields  []Field
	Body    []byte
	ETag    string
	Stamp   string
	Tags    []string
	// Born is when the fetch that last confirmed it began, on this node's steady clock.
	Born time.Duration
	// Known is the number of the last purge that was known when that fetch began.
	Known int64
}

// Key names an object; neither the case of the host nor a port counts.
func Key(host, target string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host) + "\n" + target
}

// Key names the copy's object.
func (c *Copy) Key() string { return Key(c.Host, c.Target) }

// Size is about what the copy takes in memory.
func (c *Copy) Size() int {
	n := 256 + len(c.Host) + len(c.Target) + len(c.Body) + len(c.ETag) + len(c.Stamp)
	for _, f := range c.Fields {
		n += 48 + len(f.Name) + len(f.Value)
	}
	return n
}

// Fresh tells whether the copy may be served as far as its age goes.
func (c *Copy) Fresh(lifetime, now time.Duration) bool {
	return c != nil && now-c.Born <= lifetime
}

// Age is how long ago the copy was last confirmed.
func (c *Copy) Age(now time.Duration) time.Duration { return max(0, now-c.Born) }

// Confirmed is the copy after the origin said that it still holds.
func (c *Copy) Confirmed(born time.Duration, known int64) *Copy {
	n := *c
	n.Born, n.Known = born, known
	return &n
}

// Ask is what a client wants of an object.
type Ask struct {
	Method, Range, IfRange, IfNoneMatch string
}

// Answer is how a copy answers an Ask.
type Answer struct {
	Status int
	Body   []byte
	// ContentRange is set for 206 and 416.
	ContentRange string
}

// Answer follows RFC 9110: the condition first, then the range. A range that
// can't be read, another unit than bytes or several ranges bring the whole.
func (c *Copy) Answer(a Ask) Answer {
	if a.IfNoneMatch != "" && c.matches(a.IfNoneMatch) {
		return Answer{Status: 304}
	}
	whole := Answer{Status: 200, Body: c.Body}
	if a.Range == "" || a.Method != "GET" || a.IfRange != "" && (a.IfRange != c.ETag || strings.HasPrefix(c.ETag, "W/")) {
		return whole
	}
	from, to, ok := parseRange(a.Range, int64(len(c.Body)))
	if !ok {
		return whole
	}
	size := strconv.Itoa(len(c.Body))
	if from > to {
		return Answer{Status: 416, ContentRange: "bytes */" + size}
	}
	return Answer{
		Status: 206, Body: c.Body[from : to+1],
		ContentRange: "bytes " + strconv.FormatInt(from, 10) + "-" + strconv.FormatInt(to, 10) + "/" + size,
	}
}

func (c *Copy) matches(list string) bool {
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
