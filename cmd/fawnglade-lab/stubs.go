package main

import "github.com/spf13/cobra"

func compare() *cobra.Command  { return &cobra.Command{Use: "compare"} }
func report() *cobra.Command   { return &cobra.Command{Use: "report"} }
func capacity() *cobra.Command { return &cobra.Command{Use: "capacity"} }
