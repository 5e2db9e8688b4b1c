// Package budget limits the retries to a service over a sliding window, for all entries together.
//
// The entries on the operations platform use it.
package budget
