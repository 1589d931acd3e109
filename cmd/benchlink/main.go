// Benchlink runs balancers for a simulator, which controls it over standard input and output.
package main

import (
	"os"

	"fawnglade/internal/simadapter"
)

func main() {
	os.Exit(simadapter.Run(os.Stdin, os.Stdout, os.Stderr))
}
