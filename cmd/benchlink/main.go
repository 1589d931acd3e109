// Benchlink puts the decision module on the bench's wire.
package main

import (
	"fawnglade/internal/simadapter"
	"os"
)

func main() {
	os.Exit(simadapter.Run(os.Stdin, os.Stdout, os.Stderr))
}
