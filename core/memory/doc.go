// Package memory decides what callers' connections may hold of a VM's memory, and which of them gives way under pressure.
package memory
