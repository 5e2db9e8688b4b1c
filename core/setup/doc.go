// Package setup reads and validates the settings file of a process. There are two deployments: Entry and Agent
// are the settings of the standalone one, Gate and Tend those of the one on the operations platform.
package setup
