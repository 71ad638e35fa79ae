package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// result ends the record and returns the exit code.
func (r *record) result(broken bool, format string, args ...any) int {
	text := "HELD: "
	code := 0
	if broken {
		text, code = "BROKEN: ", 1
	}
	text += fmt.Sprintf(format, args...)
	r.log("%s", text)
	fmt.Println(text)
	return code
}

func (r *record) cannotRun(format string, args ...any) int {
	text := "CANNOT RUN: " + fmt.Sprintf(format, args...)
	r.log("%s", text)
	fmt.Println(text)
	return 2
}
