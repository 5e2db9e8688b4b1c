// Package shed decides which requests are refused under overload.
//
// Without it, prompts that arrive faster than they are processed queue until their callers give up, and delay urgent
// ones in the same batches. Where output needs more slots than there are, all requests queue and miss their targets.
//
// The entries on the operations platform use it.
package shed
