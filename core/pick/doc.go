// Package pick chooses the upstream of a request from load reports that may be out of date.
package pick
