package main

// This file owns the commands that look into a store's directory. None of them changes one.

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fawnglade/internal/store"
	"fmt"
	"os"
	"unicode/utf8"

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

func look(path string) (*store.Store, *store.Recovery, error) {
	return store.Open(path, store.Options{ReadOnly: true})
}

func storeCheck() *cobra.Command {
	c := &cobra.Command{
		Use: "check DIR", Short: "Read all of a store and say whether it is whole", Args: cobra.ExactArgs(1),
		Example: "  fawnglade store check /var/lib/fawnglade\n  fawnglade store check /var/lib/fawnglade --json",
	}
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, args []string) error {
		s, r, err := look(args[0])
		var damage *store.CorruptionError
		if err != nil && (!*asJSON || !errors.As(err, &damage)) {
			return err
		}
		if s != nil {
			defer s.Close()
		}
		if *asJSON {
			out := map[string]any{"whole": err == nil}
			if damage != nil {
				out["file"], out["offset"], out["what"], out["batches_after"] = damage.File, damage.Offset, damage.Reason, damage.BatchesAfter
			} else {
				out["segments"], out["batches"], out["keys"] = r.Segments, r.Batches, r.Keys
			}
			if broken := json.NewEncoder(c.OutOrStdout()).Encode(out); broken != nil {
				return broken
			}
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: whole, %d keys in %d batches of %d segments\n", args[0], r.Keys, r.Batches, r.Segments)
		return nil
	}
	return c
}

// each calls for every key of a store, in order.
func each(path, prefix string, do func(key string, value []byte) error) error {
	s, _, err := look(path)
	if err != nil {
		return err
	}
	defer s.Close()
	snap := s.Snapshot()
	defer snap.Release()
	var failed error
	err = snap.Each(prefix, func(k string, v []byte) bool {
		failed = do(k, v)
		return failed == nil
	})
	return errors.Join(err, failed)
}

func storeList() *cobra.Command {
	c := &cobra.Command{
		Use: "list DIR", Short: "List keys and the sizes of their values", Args: cobra.ExactArgs(1),
		Example: "  fawnglade store list /var/lib/fawnglade --prefix drain/",
	}
	prefix := c.Flags().String("prefix", "", "only keys that begin so")
	c.RunE = func(c *cobra.Command, args []string) error {
		return each(args[0], *prefix, func(k string, v []byte) error {
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
			s, _, err := look(args[0])
			if err != nil {
				return err
			}
			defer s.Close()
			v, found, err := s.Get(args[1])
			if err != nil {
				return err
			}
			if !found {
				return fmt.Errorf("%s: no such key", args[1])
			}
			_, err = c.OutOrStdout().Write(v)
			return err
		},
	}
}

func storeExport() *cobra.Command {
	return &cobra.Command{
		Use: "export DIR", Short: "Print all keys and values as JSON, one to a line", Args: cobra.ExactArgs(1),
		Long:    "Print all keys and values as JSON, one to a line: key, and the value as text, or in base64 where it is none.",
		Example: "  fawnglade store export /var/lib/fawnglade > backup.jsonl",
		RunE: func(c *cobra.Command, args []string) error {
			out := json.NewEncoder(c.OutOrStdout())
			return each(args[0], "", func(k string, v []byte) error {
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
	c.MarkFlagRequired("to")
	c.RunE = func(c *cobra.Command, args []string) error {
		from, err := store.SystemDirectory(args[0], false)
		if err != nil {
			return err
		}
		if here, err := os.Stat(args[0]); err == nil {
			if there, err := os.Stat(*to); err == nil && os.SameFile(here, there) {
				return errors.New("--to: expected another directory, a store is never repaired in place")
			}
		}
		into, err := store.SystemDirectory(*to, true)
		if err != nil {
			return err
		}
		repaired, err := store.Repair(from, into)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d batches copied to %s, %d bytes could not be read\n", repaired.Batches, *to, repaired.LostBytes)
		return nil
	}
	return c
}
