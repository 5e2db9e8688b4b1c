// Package trial simulates fleets that serve a trace with the production admission, selection, retry and
// planning code and modelled engines, on the runtime's clock inside a synctest bubble.
package trial
