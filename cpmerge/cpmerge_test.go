package cpmerge_test

import (
	"fmt"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmerge"
)

func ExampleMerger() {
	var g cpmerge.Merger
	g.SetLimit(2)
	g.Add([]clementineport.Hit{{Record: "berth-4", Score: 0.7}, {Record: "berth-9", Score: 0.2}})
	g.Add([]clementineport.Hit{{Record: "berth-1", Score: 0.7}})
	for _, h := range g.Hits() {
		fmt.Println(h.Record, h.Score)
	}
	// Output:
	// berth-1 0.7
	// berth-4 0.7
}
