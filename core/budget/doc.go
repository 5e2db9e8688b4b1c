// Package budget limits the retries to a service over a sliding window, for all gates together.
package budget
