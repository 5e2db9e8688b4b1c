// Package admit implements the admission control of one upstream: it decides which queued request runs next and
// which requests are refused.
//
// The agents of package io/agent use it, and the simulation in core/trial.
package admit
