// Benchlink puts the decision module on the bench's wire.
package main

import (
	"os"

	"fawnglade/internal/simadapter"
)

func main() {
	os.Exit(simadapter.Run(os.Stdin, os.Stdout, os.Stderr))
}
