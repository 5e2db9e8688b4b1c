// Package model simulates an engine with continuous batching; step times follow a linear cost
// model and pass on the runtime's clock, so that a synctest bubble can run them in simulated time.
package model
