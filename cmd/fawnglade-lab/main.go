// Fawnglade-lab emulates the platform around fawnglade nodes: it plays scenarios with faults, on sockets or in virtual
// time, and judges the nodes by them. Each command has a file; program.go finds the node under test.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1 // an expectation did not hold or a rule was broken
	exitNotRun = 2 // it could not run, or the machine ran late
)

// errNotPassed ends a command whose runs were played and did not hold.
var errNotPassed = errors.New("not as expected")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return exitPassed
	case errors.Is(err, errNotPassed):
		return exitFailed
	default:
		fmt.Fprintln(os.Stderr, "fawnglade-lab:", err)
		return exitNotRun
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "fawnglade-lab",
		Short: "Play days around real fawnglade nodes, with faults, and judge them",
		Long: `Play days around real fawnglade nodes, with faults, and judge them.

Servers, discovery, clients and faults are stood in for on addresses in 127.0.0.0/8; the nodes are real processes.
Exit code 0: all held. 1: an expectation did not hold or a rule was broken. 2: it could not run, or the machine
ran so late that nothing can be said.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newDemoCommand(), newRunCommand(), newCompareCommand(), newReportCommand(), newCheckCommand(), newProxyCommand(),
		newCapacityCommand(), newCostCommand(), newGateCommand(), newHuntCommand(), newSweepCommand(), newMembersCommand(),
		newScaleCommand(), newDistributionCommand(), newDistributionOriginCommand(), newSoakCommand(),
	)
	return root
}
