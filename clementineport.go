// Package clementineport defines the ports and data types of a query tier over many shards.
//
// The package holds interfaces and values only; implementations live in the folders below it.
// Decisions (gather, choice of target, limits, hedges, admission, membership) are pure: they take
// state, events and the time, and return actions. Adapters carry the actions out.
package clementineport
