package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/standin/certs"
)

// daemonErrors holds the errors that the test daemon returns, by the daemon's name in the settings.
var daemonErrors = map[string]error{
	"refused":   &Error{Code: ExitRefused, Err: eris.New("refused by the test")},
	"lost-race": &Error{Code: ExitLostRace, Err: eris.New("another change won")},
	"unknown":   eris.Wrap(&Error{Code: ExitUnknown, Err: eris.New("no response")}, "wrapped"),
	"internal":  eris.New("out of order"),
}

// testDaemon prints its name and service. If its name is "serving", it creates the file serving and runs until ctx
// ends; otherwise it returns the error of its name in daemonErrors.
func testDaemon(ctx context.Context, s *settings.Settings) error {
	fmt.Printf("daemon %s of %s\n", s.Name, s.Service)
	if s.Name != "serving" {
		return daemonErrors[s.Name]
	}
	if err := os.WriteFile("serving", nil, 0o600); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Println("drained")
	return nil
}

func runProgram(daemon DaemonFunc) func() {
	return func() {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		p := Program{Daemon: daemon, Stdout: os.Stdout, Stderr: os.Stderr}
		os.Exit(int(p.Run(ctx, os.Args)))
	}
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"guavapoint":           runProgram(testDaemon),
		"guavapoint-no-daemon": runProgram(nil),
	})
}

// TestScripts runs the program with the command lines of the scripts in testdata. Each script says which failures it
// guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			if err := writeCertificates(env); err != nil {
				return err
			}
			return newTestPlatform(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":      exits,
			"await":      await,
			"kv":         kv,
			"fakedaemon": fakedaemon,
		},
	})
}

// exits CODE PROGRAM ARG... runs a program and compares its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
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

func writeCertificates(env *testscript.Env) error {
	authority, err := certs.NewAuthority(env.WorkDir)
	if err != nil {
		return err
	}
	_, err = authority.Issue("daemon")
	return err
}
