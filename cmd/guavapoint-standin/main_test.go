package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"guavapoint.example/guavapoint/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"guavapoint-standin": main})
}

// Guards against unintended changes of the flags, messages and exit codes.
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

// Guards against a key-value service that lacks its initial values, ignores an injected outage or doesn't stop when its
// context ends.
func TestKV(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, in := io.Pipe()
	root := newRoot()
	root.Writer = in
	ended := make(chan error, 1)
	go func() {
		ended <- root.Run(ctx, []string{"standin", "kv", "--listen", "127.0.0.1:0", "--put", "k=" + file})
		_ = in.Close()
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err, <-ended)
	}
	url := "http://" + strings.TrimSpace(line[strings.LastIndex(line, " ")+1:])
	client, err := platform.NewClient([]string{url}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	if kv, err := client.Get(ctx, "k"); err != nil || string(kv.Value) != "{}" || kv.Revision == 0 {
		t.Errorf("got %+v, %v", kv, err)
	}
	if resp, err := http.Post(url+"/_down?on=true", "", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("outage: %v, %v", resp, err)
	}
	if _, err := client.Get(ctx, "k"); err == nil {
		t.Error("no error in an outage")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
