// Package peak keeps the maximum of the durations of a recent time window.
package peak
