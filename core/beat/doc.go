// Package beat defines the gossip message by which entries exchange their state several times a second.
package beat
