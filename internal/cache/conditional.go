package cache

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// RequestConditions are the parts of a client's request that decide how a
// cached object answers it.
type RequestConditions struct {
	Method, Range, IfRange, IfNoneMatch string
}

// Response is how an object answers a request. Its body is part of the
// object's and must not be changed.
type Response struct {
	Status int
	Body   []byte
	// ContentRange is set where the status is 206 or 416.
	ContentRange string
}

// Respond answers a request by RFC 9110: the condition takes precedence over
// the range. A range that can't be read, one in another unit than bytes and a
// set of several ranges are ignored, so the whole object is the answer.
func (o *Object) Respond(request RequestConditions) Response {
	if request.IfNoneMatch != "" && o.matchesETag(request.IfNoneMatch) {
		return Response{Status: http.StatusNotModified}
	}
	whole := Response{Status: http.StatusOK, Body: o.Body}
	if request.Range == "" || request.Method != http.MethodGet || !o.allowsRange(request.IfRange) {
		return whole
	}
	span, err := parseRange(request.Range, int64(len(o.Body)))
	size := strconv.Itoa(len(o.Body))
	switch {
	case errors.Is(err, errUnsatisfiableRange):
		return Response{Status: http.StatusRequestedRangeNotSatisfiable, ContentRange: "bytes */" + size}
	case err != nil:
		return whole
	}
	return Response{
		Status:       http.StatusPartialContent,
		Body:         o.Body[span.first : span.last+1],
		ContentRange: "bytes " + strconv.FormatInt(span.first, 10) + "-" + strconv.FormatInt(span.last, 10) + "/" + size,
	}
}

// matchesETag compares the object's entity tag weakly with a list, as
// If-None-Match asks for.
func (o *Object) matchesETag(list string) bool {
	if strings.TrimSpace(list) == "*" {
		return true
	}
	for _, tag := range strings.Split(list, ",") {
		if tag = strings.TrimSpace(tag); tag != "" && strings.TrimPrefix(tag, "W/") == strings.TrimPrefix(o.ETag, "W/") {
			return true
		}
	}
	return false
}

// allowsRange compares the entity tag strongly with an If-Range header, empty
// if there is none.
func (o *Object) allowsRange(ifRange string) bool {
	return ifRange == "" || ifRange == o.ETag && !strings.HasPrefix(o.ETag, "W/")
}

var (
	errUnsatisfiableRange = errors.New("cache: range not satisfiable")
	errInvalidRange       = errors.New("cache: invalid range")
)

// byteRange is a range of positions in a body, both included.
type byteRange struct{ first, last int64 }

// parseRange reads a single range of a body of size bytes.
func parseRange(header string, size int64) (byteRange, error) {
	unit, spec, found := strings.Cut(header, "=")
	if !found || !strings.EqualFold(strings.TrimSpace(unit), "bytes") || strings.Contains(spec, ",") {
		return byteRange{}, errInvalidRange
	}
	from, to, found := strings.Cut(strings.TrimSpace(spec), "-")
	if !found {
		return byteRange{}, errInvalidRange
	}
	if from == "" {
		return suffixRange(to, size)
	}
	first, err := parsePosition(from)
	if err != nil {
		return byteRange{}, err
	}
	last := size - 1
	if to != "" {
		n, err := parsePosition(to)
		if err != nil {
			return byteRange{}, err
		}
		if n < first {
			return byteRange{}, errInvalidRange
		}
		last = min(last, n)
	}
	if first >= size {
		return byteRange{}, errUnsatisfiableRange
	}
	return byteRange{first, last}, nil
}

// suffixRange is the range of the last bytes of a body.
func suffixRange(length string, size int64) (byteRange, error) {
	n, err := parsePosition(length)
	if err != nil {
		return byteRange{}, err
	}
	if n == 0 || size == 0 {
		return byteRange{}, errUnsatisfiableRange
	}
	return byteRange{max(0, size-n), size - 1}, nil
}

// maxPositionDigits is how many decimal digits surely fit an int64; a longer
// number stands for hugePosition, which lies beyond any body.
const (
	maxPositionDigits = 18
	hugePosition      = 1 << 62
)

func parsePosition(digits string) (int64, error) {
	if digits == "" || strings.TrimLeft(digits, "0123456789") != "" {
		return 0, errInvalidRange
	}
	if len(digits) > maxPositionDigits {
		return hugePosition, nil
	}
	return strconv.ParseInt(digits, 10, 64)
}
