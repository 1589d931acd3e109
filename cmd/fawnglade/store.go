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
		Short: "Inspect the directory of a store, and copy the readable part of a damaged one",
		Long: `Inspect the directory of a store, and copy the readable part of a damaged one.

No command changes an existing store. Exit code 0: success. 1: failure, or "check" found damage.`,
	}
	root.AddCommand(storeCheck(), storeList(), storeGet(), storeExport(), storeRepair())
	return root
}

// openReadOnly opens a store for reading. Another process may have it open.
func openReadOnly(path string) (*store.Store, *store.Recovery, error) {
	return store.Open(path, store.Options{ReadOnly: true})
}

func storeCheck() *cobra.Command {
	c := &cobra.Command{
		Use: "check DIR", Short: "Read all of a store and report damage", Args: cobra.ExactArgs(1),
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

// checkStore reads all of a store. It returns a *store.CorruptionError if the store is damaged.
func checkStore(path string) (*store.Recovery, error) {
	s, recovery, err := openReadOnly(path)
	if err != nil {
		return nil, err
	}
	return recovery, s.Close()
}

// printCheckJSON prints the result of checkStore as JSON and returns checkErr. If checkErr is an error other than
// damage, it prints nothing.
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

// eachKey calls visit for every key of a store with the prefix, in order, until visit returns an error.
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
	prefix := c.Flags().String("prefix", "", "list only keys with this prefix")
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
		Use: "get DIR KEY", Short: "Print the value of a key unchanged", Args: cobra.ExactArgs(2),
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
		Use: "export DIR", Short: "Print all keys and values as JSON, one object per line", Args: cobra.ExactArgs(1),
		Long:    "Print all keys and values as JSON, one object per line, with the value as text if it is UTF-8, else as base64.",
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
		Use: "repair DIR --to DIR2", Short: "Copy the readable part of a damaged store to a new one", Args: cobra.ExactArgs(1),
		Long: `Copy the readable part of a damaged store to a new one.

DIR is not changed. Damaged batches are lost, so a key that they had changed or removed has its earlier value in the new
store: inspect the new store before starting a node on it.`,
		Example: "  fawnglade store repair /var/lib/fawnglade --to /var/lib/fawnglade-2",
	}
	to := c.Flags().String("to", "", "directory without a store; created if it does not exist")
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
		return none, errors.New("--to: expected a directory other than DIR, as a store is never repaired in place")
	}
	into, err := store.SystemDirectory(to, true)
	if err != nil {
		return none, err
	}
	return store.Repair(from, into)
}

// isSameFile reports whether two paths refer to the same file. It returns false if one of them doesn't exist.
func isSameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}
