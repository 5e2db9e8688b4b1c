// Package parts stores the configuration document in parts, so that a change rewrites only the affected ones.
package parts
