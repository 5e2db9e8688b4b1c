// Package clock reads time that goes on while the process or its VM is suspended and that steps of the wall clock don't
// affect.
package clock
