// Fawnglade-lab is the emulator of the platform: it plays days around real nodes and judges them.
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
	exitHeld  = 0
	exitFell  = 1 // an expectation did not hold or a rule was broken
	exitNoRun = 2 // it could not run, or the machine ran late
)

// fell is the error of a run that was played and did not hold.
var fell = errors.New("not as expected")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
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
	root.AddCommand(demo(), play(), compare(), report(), checkFiles(), proxy(), capacity(), cost(), gate(), huntDays(), sweepGrid(), measureMembers(), measureScale(), distribution(), distributionOrigin())
	root.SetArgs(args)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return exitHeld
	case errors.Is(err, fell):
		return exitFell
	default:
		fmt.Fprintln(os.Stderr, "fawnglade-lab:", err)
		return exitNoRun
	}
}
