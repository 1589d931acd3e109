// Fawnglade runs and inspects the nodes of the reverse proxy.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fawnglade:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "fawnglade",
		Short:         "A reverse proxy that balances requests over HTTP servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(),
		checkCommand(),
		versionCommand(),
		migrateCommand(),
		storeCommands(),
		fleetCommands(),
		relayCommand(),
	)
	return root
}

// newLog returns a logger that writes JSON lines to standard error.
func newLog() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true // panics include their own stack trace
	return config.Build()
}
