// Package simai simulates a model engine with continuous batching, a role and a version.
package simai
