// Benchlink runs the decisions for a simulator that speaks to it on standard input and output.
package main

import (
	"os"

	"fawnglade/internal/simadapter"
)

func main() {
	os.Exit(simadapter.Run(os.Stdin, os.Stdout, os.Stderr))
}
