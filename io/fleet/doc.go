// Package fleet writes the settings, the configuration and the process list of a demonstration fleet on
// loopback. Its tests run such fleets as real processes under faults.
package fleet
