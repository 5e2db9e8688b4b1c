// Package roles plans role changes of engines whose expected gain exceeds their cost.
package roles
