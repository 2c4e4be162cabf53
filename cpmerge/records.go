package cpmerge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in a response body.
const RecordBytes = 16

// TopRecords returns the greatest records of the bodies in descending byte order. Duplicate records are kept.
// A remainder at the end of a body that is shorter than a record is ignored.
func TopRecords(bodies [][]byte, top int) []byte {
	total := 0
	for _, b := range bodies {
		total += len(b) / RecordBytes
	}
	records := make([][]byte, 0, total)
	for _, b := range bodies {
		for ; len(b) >= RecordBytes; b = b[RecordBytes:] {
			records = append(records, b[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(top, len(records))], nil)
}
