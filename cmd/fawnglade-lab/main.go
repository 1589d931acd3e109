// Fawnglade-lab emulates the platform around fawnglade nodes. It runs scenarios with faults, on sockets or in virtual
// time, and checks the behavior of the nodes. Each command has a file; program.go locates the node under test.
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
	exitNotRun = 2 // the command could not run, or the lab lagged so that the results are void
)

// errNotPassed is returned by a command whose runs completed and did not meet their expectations.
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
		Short: "Run scenarios with faults around real fawnglade nodes and check the nodes",
		Long: `Run scenarios with faults around real fawnglade nodes and check the nodes.

Servers, discovery, clients and faults are emulated on addresses in 127.0.0.0/8; the nodes are real processes.
Exit code 0: all expectations held. 1: an expectation did not hold or a rule was broken. 2: the command could not run,
or the lab itself lagged so much that the results are void.`,
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
