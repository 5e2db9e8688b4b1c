// Package curve learns how long engines of a service take to process prompts, as a function of the prompt.
//
// Deployments differ in the rate, the fixed time and the attention time of their engines. A single model of an engine with a
// learned factor is wrong for prompts that are much longer or shorter than the usual ones.
//
// The entries on the operations platform use it.
package curve
