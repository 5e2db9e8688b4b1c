// Package health provides a circuit breaker for calls to an upstream.
//
// The entries on the operations platform use it, and the agents of package io/agent.
package health
