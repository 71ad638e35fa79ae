package main

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"guavapoint-standin": main})
}

// Guards against changes of what a user types and sees: flags, messages, exit codes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"await": await},
	})
}

// await FILE waits until a background process has created the file.
func await(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(ts.MkAbs(args[0])); err == nil {
			return
		}
	}
	ts.Fatalf("%s was not created", args[0])
}
