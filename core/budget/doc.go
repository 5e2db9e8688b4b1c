// Package budget bounds repeated sends to a service over a sliding window, shared by all entries.
package budget
