package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"unicode/utf8"

	"fawnglade/internal/store"

	"github.com/spf13/cobra"
)

func storeCommands() *cobra.Command {
	root := &cobra.Command{
		Use:   "store",
		Short: "Look into the directory of a store, and copy what can be read of a damaged one",
		Long: `Look into the directory of a store, and copy what can be read of a damaged one.

Nothing here changes a directory that is there. Exit code 0: done. 1: it could not be done, or "check" found damage.`,
	}
	root.AddCommand(storeCheck(), storeList(), storeGet(), storeExport(), storeRepair())
	return root
}

// openReadOnly opens a store beside a process that may have it open.
func openReadOnly(path string) (*store.Store, *store.Recovery, error) {
	return store.Open(path, store.Options{ReadOnly: true})
}

func storeCheck() *cobra.Command {
	c := &cobra.Command{
		Use: "check DIR", Short: "Read all of a store and say whether it is whole", Args: cobra.ExactArgs(1),
		Example: "  fawnglade store check /var/lib/fawnglade\n  fawnglade store check /var/lib/fawnglade --json",
	}
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, args []string) error {
		recovery, err := checkStore(args[0])
		if *asJSON {
			return printCheckJSON(c.OutOrStdout(), recovery, err)
		}
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s: whole, %d keys in %d batches of %d segments\n",
			args[0], recovery.Keys, recovery.Batches, recovery.Segments)
		return err
	}
	return c
}

// checkStore reads all of a store. The error is a *store.CorruptionError if the store is damaged.
func checkStore(path string) (*store.Recovery, error) {
	s, recovery, err := openReadOnly(path)
	if err != nil {
		return nil, err
	}
	return recovery, s.Close()
}

// printCheckJSON prints the result of checkStore, unless it is an error other than damage, and returns that result's
// error.
func printCheckJSON(out io.Writer, recovery *store.Recovery, checkErr error) error {
	result := map[string]any{"whole": checkErr == nil}
	var corruption *store.CorruptionError
	switch {
	case errors.As(checkErr, &corruption):
		result["file"] = corruption.File
		result["offset"] = corruption.Offset
		result["what"] = corruption.Reason
		result["batches_after"] = corruption.BatchesAfter
	case checkErr != nil:
		return checkErr
	default:
		result["segments"] = recovery.Segments
		result["batches"] = recovery.Batches
		result["keys"] = recovery.Keys
	}
	if err := json.NewEncoder(out).Encode(result); err != nil {
		return err
	}
	return checkErr
}

// eachKey calls visit for every key of a store with the prefix, in order, until it returns an error.
func eachKey(path, prefix string, visit func(key string, value []byte) error) error {
	s, _, err := openReadOnly(path)
	if err != nil {
		return err
	}
	snapshot := s.Snapshot()
	var visitErr error
	readErr := snapshot.Each(prefix, func(key string, value []byte) bool {
		visitErr = visit(key, value)
		return visitErr == nil
	})
	snapshot.Release()
	return errors.Join(readErr, visitErr, s.Close())
}

func storeList() *cobra.Command {
	c := &cobra.Command{
		Use: "list DIR", Short: "List keys and the sizes of their values", Args: cobra.ExactArgs(1),
		Example: "  fawnglade store list /var/lib/fawnglade --prefix drain/",
	}
	prefix := c.Flags().String("prefix", "", "only keys that begin so")
	c.RunE = func(c *cobra.Command, args []string) error {
		return eachKey(args[0], *prefix, func(k string, v []byte) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "%d\t%s\n", len(v), k)
			return err
		})
	}
	return c
}

func storeGet() *cobra.Command {
	return &cobra.Command{
		Use: "get DIR KEY", Short: "Print one value as it is", Args: cobra.ExactArgs(2),
		Example: "  fawnglade store get /var/lib/fawnglade list > list.cbor",
		RunE: func(c *cobra.Command, args []string) error {
			value, err := getValue(args[0], args[1])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(value)
			return err
		},
	}
}

func getValue(path, key string) ([]byte, error) {
	s, _, err := openReadOnly(path)
	if err != nil {
		return nil, err
	}
	value, found, err := s.Get(key)
	if err == nil && !found {
		err = fmt.Errorf("%s: no such key", key)
	}
	return value, errors.Join(err, s.Close())
}

func storeExport() *cobra.Command {
	return &cobra.Command{
		Use: "export DIR", Short: "Print all keys and values as JSON, one to a line", Args: cobra.ExactArgs(1),
		Long:    "Print all keys and values as JSON, one to a line: key, and the value as text, or in base64 where it is none.",
		Example: "  fawnglade store export /var/lib/fawnglade > backup.jsonl",
		RunE: func(c *cobra.Command, args []string) error {
			out := json.NewEncoder(c.OutOrStdout())
			return eachKey(args[0], "", func(k string, v []byte) error {
				if utf8.Valid(v) {
					return out.Encode(map[string]string{"key": k, "text": string(v)})
				}
				return out.Encode(map[string]string{"key": k, "base64": base64.StdEncoding.EncodeToString(v)})
			})
		},
	}
}

func storeRepair() *cobra.Command {
	c := &cobra.Command{
		Use: "repair DIR --to DIR2", Short: "Copy what can be read of a damaged store into a new one", Args: cobra.ExactArgs(1),
		Long: `Copy what can be read of a damaged store into a new one.

DIR stays as it is. What stood between two whole batches is lost, and a key that it had changed or removed comes back as
it was before: look at what comes out before a node is started on it.`,
		Example: "  fawnglade store repair /var/lib/fawnglade --to /var/lib/fawnglade-2",
	}
	to := c.Flags().String("to", "", "a directory without a store, made if it is not there")
	requireFlag(c, "to")
	c.RunE = func(c *cobra.Command, args []string) error {
		repaired, err := repairStore(args[0], *to)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%d batches copied to %s, %d bytes could not be read\n",
			repaired.Batches, *to, repaired.LostBytes)
		return err
	}
	return c
}

func repairStore(path, to string) (store.RepairResult, error) {
	var none store.RepairResult
	from, err := store.SystemDirectory(path, false)
	if err != nil {
		return none, err
	}
	if isSameFile(path, to) {
		return none, errors.New("--to: expected another directory, a store is never repaired in place")
	}
	into, err := store.SystemDirectory(to, true)
	if err != nil {
		return none, err
	}
	return store.Repair(from, into)
}

// isSameFile reports whether two paths name the same file; one that doesn't exist is no other's.
func isSameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}
