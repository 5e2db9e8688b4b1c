// Command pimentoseam serves model engines and plain services to callers.
package main

// Links the program against the C library, as the platform asks.

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
