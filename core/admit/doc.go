// Package admit implements the admission control of one upstream: it decides which queued request runs next and
// which requests are refused.
package admit
