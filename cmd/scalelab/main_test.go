package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func testArguments() arguments {
	return arguments{Experiments: []string{"quota"}, Seed: 1, Repeats: 1, Gateways: 1000, SumsBackends: 10,
		ChurnGateways: 3, Watches: 1, SocketTime: time.Second, Limit: time.Nanosecond}
}

// A run that exceeds its time limit returns an error, and marks its table and its JSON report as cut short.
func TestExceededLimitIsReported(t *testing.T) {
	args := testArguments()
	args.JSON = filepath.Join(t.TempDir(), "report.json")
	var table bytes.Buffer
	err := run(t.Context(), args, &table, io.Discard)
	if err == nil || !strings.Contains(err.Error(), "cut short") || !strings.Contains(table.String(), "CUT SHORT") {
		t.Errorf("error %v, table %.60q; want both to say that the run was cut short", err, table.String())
	}
	if text, err := os.ReadFile(args.JSON); err != nil || !strings.Contains(string(text), `"cut_short": "quota`) {
		t.Errorf("JSON report %.200q, error %v", text, err)
	}
}

func TestInvalidArgumentsAreRejected(t *testing.T) {
	args := testArguments()
	args.Limit = 0
	if err := run(t.Context(), args, io.Discard, io.Discard); err == nil {
		t.Error("a limit of 0 was accepted")
	}
	args = testArguments()
	args.Experiments = []string{"nonsense"}
	if err := run(t.Context(), args, io.Discard, io.Discard); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("unknown experiment: error %v", err)
	}
}
