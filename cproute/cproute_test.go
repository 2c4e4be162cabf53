package cproute_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cproute"
)

func ExampleRouter_Match() {
	router := cproute.New(&clementineport.RouteTable{Routes: []clementineport.Route{
		{Name: "all", Host: "search.example", Prefix: "/a/"},
		{Name: "part", Host: "search.example", Prefix: "/a/b/"},
	}}, nil)
	fmt.Println(router.Match("Search.Example", "/a/b/c").Name)
	fmt.Println(router.Match("search.example", "/a/bc").Name)
	fmt.Println(router.Match("search.example", "/a") == nil)
	// Output:
	// part
	// all
	// true
}

func TestRoundRobinMatchesTheWeightsForAnyNumberOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "weights")
		services := make([]clementineport.WeightedService, len(weights))
		total := 0
		for i, w := range weights {
			services[i] = clementineport.WeightedService{
				Service: clementineport.ServiceID(fmt.Sprint(i)), Weight: float64(w),
			}
			total += w
		}
		roundRobin := cproute.NewRoundRobin(services)
		got := map[clementineport.ServiceID]int{}
		n := rapid.IntRange(1, 200).Draw(t, "requests")
		for range n {
			got[roundRobin.Next()]++
		}
		for i, w := range weights {
			want := float64(n) * float64(w) / float64(total)
			assert.Assert(t, math.Abs(float64(got[services[i].Service])-want) <= float64(len(weights)))
		}
	})
}

func TestRoundRobinContinuesInANewTableWithTheSameWeights(t *testing.T) {
	route := clementineport.Route{Name: "r", Host: "h", Prefix: "/", Services: []clementineport.WeightedService{
		{Service: "a", Weight: 1}, {Service: "b", Weight: 1},
	}}
	table := func() *clementineport.RouteTable {
		return &clementineport.RouteTable{Routes: []clementineport.Route{route}}
	}
	var router *cproute.Router
	got := map[clementineport.ServiceID]int{}
	for range 10 {
		router = cproute.New(table(), router)
		got[router.Service(router.Match("h", "/x"))]++
	}
	assert.Equal(t, got["a"], 5)
	assert.Equal(t, got["b"], 5)
}
