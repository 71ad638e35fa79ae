// Command standin-2 runs the cases of the second review: it starts daemons as separate processes on loopback addresses and
// plays clients, backend servers and the platform's store.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// options are the arguments of a case.
type options struct {
	binary  string
	dir     string
	trouble bool
	record  *Record
}

// cases returns whether the rule held. An error means that the case couldn't run.
var cases = map[string]func(o options) (held bool, err error){
	"endless": endlessAnswers,
	"caller":  callerService,
}

func main() {
	binary := flag.String("binary", "target/guavapoint", "the daemon's `program`")
	recordFile := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(run, *binary, *recordFile, *trouble))
}

// runCase returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func runCase(run func(o options) (bool, error), binary, recordFile string, trouble bool) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	record := NewRecord(file, 1_000_000)
	held, err := run(options{binary: binary, dir: dir, trouble: trouble, record: record})
	switch {
	case err != nil:
		record.Always("the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		fmt.Println("the rule was broken")
		return 1
	default:
		fmt.Println("the rule held")
		return 0
	}
}
