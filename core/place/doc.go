// Package place chooses the engines that process a prompt and generate its output.
//
// The entries on the operations platform use it.
package place
