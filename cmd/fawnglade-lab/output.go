package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// printf writes formatted text and returns the error of the write.
func printf(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return printf(w, "%s\n", text)
}

// isTerminal reports whether a file is a terminal that can show progress.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return false
	}
	term := os.Getenv("TERM")
	return term != "" && term != "dumb"
}

// newLogger returns a logger to standard error if verbose, else one that discards everything.
func newLogger(verbose bool) *zap.Logger {
	if !verbose {
		return zap.NewNop()
	}
	c := zap.NewDevelopmentConfig()
	c.DisableStacktrace, c.DisableCaller = true, true
	c.EncoderConfig.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	log, err := c.Build()
	if err != nil {
		return zap.NewNop()
	}
	return log
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
