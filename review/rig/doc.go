//go:build review

// Package rig starts the project's programs as separate processes against stand-ins, for the cases of the review.
package rig
