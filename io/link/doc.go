// Package link carries frames between an entry and an agent over a WebSocket connection.
package link
