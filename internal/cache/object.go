package cache

import (
	"strings"
	"time"
)

// HeaderTags is the response header that bears an object's tags, separated by
// spaces.
const HeaderTags = "Swiftswitch-Object-Tags"

// SplitTags reads the value of HeaderTags.
func SplitTags(value string) []string { return strings.Fields(value) }

// Field is a header field that is passed on with an object.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// Object is a whole response of an origin to a GET request, as it is cached.
// It is never changed once made, so it may be shared.
type Object struct {
	Host, Target string
	// Service is the service that it was fetched from.
	Service string
	// Tenant is the name of the tenant that it was fetched for, empty if it is
	// for all. Endpoints are told the tenant, so their responses may differ by it.
	Tenant string
	Fields []Field
	Body   []byte
	ETag   string
	// Stamp names the origin's process and version.
	Stamp string
	Tags  []string
	// FetchedAt is when the fetch began that brought or last revalidated the
	// object, by this node's monotonic clock. Its age counts from then.
	FetchedAt time.Duration
	// KnownPurge is the number of the last purge known when that fetch began.
	// Later purges may invalidate the object, earlier ones do not.
	KnownPurge int64
}

// Key names the objects at a host and target, as purges do. Hosts differ neither
// by case nor by port.
func Key(host, target string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host) + "\n" + target
}

// TenantKey names the object of one tenant, or of all where tenant is empty.
// Neither a host nor a target holds the separator.
func TenantKey(tenant, host, target string) string {
	if tenant == "" {
		return Key(host, target)
	}
	return Key(host, target) + "\n" + tenant
}

// Key returns the object's key.
func (o *Object) Key() string { return TenantKey(o.Tenant, o.Host, o.Target) }

const (
	// objectOverhead and fieldOverhead estimate the bytes that an object and a
	// field take besides their contents.
	objectOverhead = 256
	fieldOverhead  = 48
)

// Size returns about how many bytes of memory the object takes.
func (o *Object) Size() int {
	n := objectOverhead + len(o.Host) + len(o.Target) + len(o.Tenant) + len(o.Body) + len(o.ETag) + len(o.Stamp)
	for _, field := range o.Fields {
		n += fieldOverhead + len(field.Name) + len(field.Value)
	}
	return n
}

// IsFresh reports whether the object is no older than its lifetime. No object is
// not fresh.
func (o *Object) IsFresh(lifetime, now time.Duration) bool {
	return o != nil && now-o.FetchedAt <= lifetime
}

// Age returns how long ago the object was fetched or revalidated.
func (o *Object) Age(now time.Duration) time.Duration { return max(0, now-o.FetchedAt) }

// Revalidated returns the object as it is after the origin confirmed, to a
// fetch begun at fetchedAt, that it still is the newest.
func (o *Object) Revalidated(fetchedAt time.Duration, knownPurge int64) *Object {
	next := *o
	next.FetchedAt, next.KnownPurge = fetchedAt, knownPurge
	return &next
}

// PassThrough is an origin's response that is passed on to those who waited
// for it, and not cached.
type PassThrough struct {
	Status int
	Fields []Field
	Body   []byte
	Stamp  string
}
