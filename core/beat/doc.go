// Package beat defines the gossip message by which entries exchange their state several times a second.
//
// The entries on the operations platform use it.
package beat
