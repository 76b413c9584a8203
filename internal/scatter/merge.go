package scatter

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of one record in bytes.
const RecordSize = 16

// record is a record as two big-endian words: their order is that of the bytes.
type record struct{ high, low uint64 }

// compareDescending orders records from the greatest to the least.
func compareDescending(a, b record) int {
	if a.high != b.high {
		return cmp.Compare(b.high, a.high)
	}
	return cmp.Compare(b.low, a.low)
}

// Merge returns the greatest top records of the bodies, greatest first,
// compared byte by byte. Equal records are all kept; an incomplete record at
// the end of a body is ignored.
func Merge(bodies [][]byte, top int) []byte {
	n := 0
	for _, body := range bodies {
		n += len(body) / RecordSize
	}
	records := make([]record, 0, n)
	for _, body := range bodies {
		for ; len(body) >= RecordSize; body = body[RecordSize:] {
			records = append(records, record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])})
		}
	}
	slices.SortFunc(records, compareDescending)
	records = records[:min(top, len(records))]
	out := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
