// Package proc contains what all processes need: logging, signals, settings reload, timers and the control interface.
package proc
