// Package probe decides how often an entry calls a store that fails.
//
// If hundreds of entries try again by themselves, an outage costs more calls than the rest of the day, and most of them
// learn nothing that their peers don't know. One entry of each availability zone probes the store; the others wait for
// longer, since the first that reaches the store passes changes on.
package probe
