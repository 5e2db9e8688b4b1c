// Package agent implements the agent process, which runs beside one upstream and relays all of its requests.
package agent
