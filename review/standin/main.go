// Command standin plays the outside world around real nodes in the cases of this review: discovery, servers, the links
// between machines, and clients that judge the answers. It follows the operators' protocol and binds to loopback
// addresses only. Every command ends by itself or at SIGTERM.
package main

import (
	"flag"
	"fmt"
	"os"
)

// commands maps the first argument to what runs.
var commands = map[string]func(args []string) error{
	"plan":      planCommand,
	"ready":     readyCommand,
	"discovery": discoveryCommand,
	"servers":   serversCommand,
	"upload":    uploadCommand,
	"copies":    copiesCommand,
	"shutdown":  shutdownCommand,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin plan|ready|discovery|servers|upload|copies|shutdown [flags]")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin "+os.Args[1]+":", err)
		os.Exit(exitCode(err))
	}
}

// newFlags returns a flag set with the flag that every command but plan has: the file with the plan.
func newFlags(name string) (flags *flag.FlagSet, planPath *string) {
	flags = flag.NewFlagSet(name, flag.ExitOnError)
	return flags, flags.String("plan", "", "file written by the command plan")
}
