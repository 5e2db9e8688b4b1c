// Package place chooses the engines that process a prompt and generate its output.
package place
