// Package simflt injects faults into a simulated service at run time.
package simflt
