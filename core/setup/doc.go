// Package setup reads and validates the settings file of a process.
package setup
