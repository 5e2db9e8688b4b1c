// Package cached remembers which engines keep which shared parts of prompts.
package cached
