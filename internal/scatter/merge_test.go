package scatter

import (
	"bytes"
	"testing"
)

func TestMerge(t *testing.T) {
	rec := func(c byte, n byte) []byte { return append(bytes.Repeat([]byte{c}, RecordSize-1), n) }
	concat := func(records ...[]byte) []byte { return bytes.Join(records, nil) }
	tests := []struct {
		name   string
		bodies [][]byte
		top    int
		want   []byte
	}{
		{
			name:   "the greatest of all bodies, equal ones kept, an incomplete one dropped",
			bodies: [][]byte{concat(rec('b', 1), rec('a', 2), []byte("rest")), concat(rec('b', 1), rec('c', 0), rec('b', 2)), nil},
			top:    4,
			want:   concat(rec('c', 0), rec('b', 2), rec('b', 1), rec('b', 1)),
		},
		{
			name:   "bytes are compared unsigned",
			bodies: [][]byte{rec(0x7f, 0xff), rec(0xff, 0)},
			top:    9,
			want:   concat(rec(0xff, 0), rec(0x7f, 0xff)),
		},
		{name: "nothing", top: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Merge(test.bodies, test.top); !bytes.Equal(got, test.want) {
				t.Fatalf("got %q, want %q", got, test.want)
			}
		})
	}
}
