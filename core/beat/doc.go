// Package beat defines what entries tell each other many times a second.
package beat
