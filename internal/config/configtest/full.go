package configtest

import (
	"fmt"

	"swiftswitch/internal/config"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// itemsPerList is how many items each list of a full configuration has.
const itemsPerList = 2

// Full returns a configuration in which every field, at every depth, has a value
// of its own that is not the zero value. It need not be valid.
func Full() *config.Configuration {
	filler := &filler{}
	c := &config.Configuration{}
	filler.fill(c.ProtoReflect())
	return c
}

// filler gives each field another number.
type filler struct{ last int }

func (f *filler) fill(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !field.IsList() {
			message.Set(field, f.value(message.NewField(field), field))
			continue
		}
		list := message.NewField(field).List()
		for range itemsPerList {
			element := list.NewElement()
			list.Append(f.value(element, field))
		}
		message.Set(field, protoreflect.ValueOfList(list))
	}
}

// value returns a value for a field, or for an element of it. empty is the zero
// value.
func (f *filler) value(empty protoreflect.Value, field protoreflect.FieldDescriptor) protoreflect.Value {
	if field.Message() != nil {
		f.fill(empty.Message())
		return empty
	}
	f.last++
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text-", f.last))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(f.last))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(f.last))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(f.last) + 0.5)
	}
	panic(fmt.Sprintf("%s has a kind that configtest does not know: %v", field.FullName(), field.Kind()))
}

// Variant is a configuration that differs from another in one field.
type Variant struct {
	// Path names the field, as "Routes[].Name".
	Path          string
	Configuration *config.Configuration
}

// Variants returns, for each field at every depth of a full configuration, a
// copy in which that field alone is cleared. Of a list the first item is changed.
func Variants(full *config.Configuration) []Variant {
	var variants []Variant
	walk(full.ProtoReflect().Descriptor(), "", nil, func(path string, steps []protoreflect.FieldDescriptor) {
		variant := proto.Clone(full).(*config.Configuration)
		message := variant.ProtoReflect()
		for _, step := range steps[:len(steps)-1] {
			if step.IsList() {
				message = message.Mutable(step).List().Get(0).Message()
			} else {
				message = message.Mutable(step).Message()
			}
		}
		message.Clear(steps[len(steps)-1])
		variants = append(variants, Variant{path, variant})
	})
	return variants
}

// walk visits each field at every depth.
func walk(message protoreflect.MessageDescriptor, prefix string, steps []protoreflect.FieldDescriptor, visit func(string, []protoreflect.FieldDescriptor)) {
	fields := message.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		path := prefix + field.JSONName()
		below := append(steps[:len(steps):len(steps)], field)
		visit(path, below)
		if field.Message() != nil && field.IsList() {
			walk(field.Message(), path+"[].", below, visit)
		} else if field.Message() != nil {
			walk(field.Message(), path+".", below, visit)
		}
	}
}
