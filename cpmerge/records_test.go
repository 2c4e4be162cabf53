package cpmerge_test

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport/cpmerge"
)

func TestRecordsAreTheGreatestOfAllBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100)
		bodies := rapid.SliceOfN(body, 0, 5).Draw(t, "bodies")
		top := rapid.IntRange(0, 12).Draw(t, "top")
		var all []string
		for _, b := range bodies {
			for i := 0; i+cpmerge.RecordBytes <= len(b); i += cpmerge.RecordBytes {
				all = append(all, string(b[i:i+cpmerge.RecordBytes]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want bytes.Buffer
		for _, r := range all[:min(top, len(all))] {
			want.WriteString(r)
		}
		assert.Assert(t, bytes.Equal(cpmerge.TopRecords(bodies, top), want.Bytes()))
	})
}
