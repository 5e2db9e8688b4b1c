// Package roles plans role changes of engines whose expected gain exceeds their cost.
//
// Only the simulation in core/trial uses it.
package roles
