package config

import (
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// The values of Route.RouteKind.
const (
	// RouteKindSafe: a request may run more than once.
	RouteKindSafe = "safe"
	// RouteKindUnsafe: a request runs at most once for each of the client's attempts.
	RouteKindUnsafe = "unsafe"
	// RouteKindCached: like safe, and responses may be cached.
	RouteKindCached = "cached"
	// RouteKindUpload: like unsafe, and requests may have large bodies.
	RouteKindUpload = "upload"
	// RouteKindDownload: like safe, and responses may have large bodies.
	RouteKindDownload = "download"
)

// isIdempotent says, for each route kind, whether a request may run more than once.
var isIdempotent = map[string]bool{
	RouteKindSafe:     true,
	RouteKindCached:   true,
	RouteKindDownload: true,
	RouteKindUnsafe:   false,
	RouteKindUpload:   false,
}

// IsIdempotent reports whether requests on the route may run more than once. A
// kind that is not known allows it for none.
func (r *Route) IsIdempotent() bool { return isIdempotent[r.RouteKind] }

// DecodeConfiguration reads a configuration without validating it. It is for
// bytes that ParseConfiguration accepted before, and for Delta.Changes.
func DecodeConfiguration(raw []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("not a configuration: %s", withoutValues(err.Error()))
	}
	return c, nil
}

var (
	decodingPosition = regexp.MustCompile(`\(line \d+:\d+\)`)
	decodingReason   = regexp.MustCompile(`syntax error|invalid value for [a-z0-9]+ field [A-Za-z0-9_.]+|unexpected token|unexpected EOF|duplicate field|invalid UTF-8`)
)

// withoutValues returns what a message of protojson says of the place and the
// kind of an error, and nothing else: it quotes what it can't read, which may be
// a key, and messages go into answers and logs.
func withoutValues(message string) string {
	parts := []string{decodingReason.FindString(message), decodingPosition.FindString(message)}
	return strings.TrimSpace(strings.Join(parts, " "))
}

// ParseConfiguration reads an operator's configuration and validates all that
// can be validated without knowing the version in force.
func ParseConfiguration(raw []byte) (*Configuration, error) {
	c, err := DecodeConfiguration(raw)
	if err != nil {
		return nil, err
	}
	fields, err := decodeFields(raw)
	if err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	if err := rejectQuotedNumbers(fields, c.ProtoReflect().Descriptor()); err != nil {
		return nil, err
	}
	return c, c.validate()
}

// rejectQuotedNumbers returns an error where a numeric field of the message
// holds a string: protojson takes a number in quotes, the configuration's
// format doesn't.
func rejectQuotedNumbers(fields map[string]any, message protoreflect.MessageDescriptor) error {
	for key, value := range fields {
		field := message.Fields().ByJSONName(key)
		if field == nil {
			continue
		}
		items, isList := value.([]any)
		if !isList {
			items = []any{value}
		}
		for _, item := range items {
			if err := rejectQuotedNumber(key, item, field); err != nil {
				return err
			}
		}
	}
	return nil
}

// rejectQuotedNumber is rejectQuotedNumbers for one value of one field.
func rejectQuotedNumber(key string, value any, field protoreflect.FieldDescriptor) error {
	switch field.Kind() {
	case protoreflect.MessageKind:
		if fields, ok := value.(map[string]any); ok {
			return rejectQuotedNumbers(fields, field.Message())
		}
	case protoreflect.Int32Kind, protoreflect.Int64Kind, protoreflect.DoubleKind:
		if _, ok := value.(string); ok {
			return fmt.Errorf("%s wants a number, not a string", key)
		}
	}
	return nil
}
