package cpestate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpsample"
)

func TestSizesParse(t *testing.T) {
	for _, size := range cpsample.Sizes() {
		t.Run(string(size), func(t *testing.T) {
			e, err := cpsample.Generate(size)
			assert.NilError(t, err)
			text := cpestate.Format(e)
			back, err := cpestate.Parse(text)
			assert.NilError(t, err)
			assert.DeepEqual(t, back, e)
			t.Log(cpestate.Summary(e), len(text))
		})
	}
}
