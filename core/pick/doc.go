// Package pick chooses the upstream of a request from load reports that may be out of date.
//
// The entries of package io/entry use it, and the simulation in core/trial.
package pick
