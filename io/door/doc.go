// Package door takes callers' connections under limits that may change while it is open.
package door
