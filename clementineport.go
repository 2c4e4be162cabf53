// Package clementineport defines the interfaces and data types of a query tier over many shards.
//
// It contains only interfaces and values; the packages below it implement them. Decision logic (gathering,
// target selection, limits, hedging, admission, membership) is pure: it takes state, events and the current
// time and returns actions, which adapters execute.
package clementineport
