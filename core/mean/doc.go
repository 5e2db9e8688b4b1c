// Package mean keeps an exponentially weighted moving average of durations.
package mean
