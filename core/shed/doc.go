// Package shed decides which requests are refused under overload.
//
// It covers two kinds of overload. If prompts arrive faster than the engines process them, they would queue
// until their callers give up, and delay urgent prompts in the same batches. If more requests generate output
// than the decode engines have slots, all would queue for a slot and miss their targets.
package shed
