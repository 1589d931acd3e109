// Benchlink puts the decision module on the bench's wire.
package main

import (
	"os"

	"fawnglade/internal/benchwire"
)

func main() {
	os.Exit(benchwire.Run(os.Stdin, os.Stdout, os.Stderr))
}
