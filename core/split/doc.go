// Package split decides how many engines of a service process prompts and how many generate output.
//
// The leader among the entries on the operations platform uses it. The engines that generate output, the decode
// engines, also process prompts, but more slowly. They correspond to the role "mixed" in packages roles and pick.
package split
