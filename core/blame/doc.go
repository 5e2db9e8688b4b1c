// Package blame finds the parts of prompts that crash the engines which answer them.
//
// A crash breaks off all requests at the engine, of which one caused it. Entries report to each other which requests each
// crash may be due to, and which of their parts engines have answered since. A part that is left over after several crashes
// is blocked, together with the parts that came with it each time.
//
// The entries on the operations platform use it.
package blame
