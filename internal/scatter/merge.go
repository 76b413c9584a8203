package scatter

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of one record.
const RecordSize = 16

type record struct{ hi, lo uint64 }

// Merge gives the greatest top records of the bodies, greatest first,
// compared byte by byte. Equal records all stay; a rest that is no whole
// record counts for nothing.
func Merge(bodies [][]byte, top int) []byte {
	n := 0
	for _, b := range bodies {
		n += len(b) / RecordSize
	}
	recs := make([]record, 0, n)
	for _, b := range bodies {
		for ; len(b) >= RecordSize; b = b[RecordSize:] {
			recs = append(recs, record{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])})
		}
	}
	slices.SortFunc(recs, func(a, b record) int {
		if a.hi != b.hi {
			return cmp.Compare(b.hi, a.hi)
		}
		return cmp.Compare(b.lo, a.lo)
	})
	if len(recs) > top {
		recs = recs[:top]
	}
	out := make([]byte, 0, len(recs)*RecordSize)
	for _, r := range recs {
		out = binary.BigEndian.AppendUint64(out, r.hi)
		out = binary.BigEndian.AppendUint64(out, r.lo)
	}
	return out
}
