// Package trial simulates fleets that serve a trace with the real decision code and modelled
// engines, on the runtime's clock inside a synctest bubble.
package trial
