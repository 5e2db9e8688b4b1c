// Command pimentoseam serves model engines and plain services to callers.
package main

// Importing C links the program against the C library, which the platform requires.

import "C"

import (
	"os"

	"pimentoseam/io/oper"
	"pimentoseam/io/proc"
)

func main() {
	ctx, cancel := proc.SignalContext()
	defer cancel()
	os.Exit(int(oper.Run(ctx, os.Args[1:])))
}
