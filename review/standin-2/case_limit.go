package main

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["limit"] = statedLimit }

// statedLimit plays backend servers that name a Server-Limit in their answers, first the one that they need and then a number
// so large that it limits nothing. The rule is broken if on a tenth of the machines, two at least, daemons end by themselves
// three times.
func statedLimit(o options) (bool, error) {
	places := []Placement{{"holdership", "kin-a", "kingston"}, {"holdership", "mbj-a", "montego"}, {"lookup", "kin-a", "kingston"}, {"lookup", "mbj-a", "montego"}}
	f, err := NewFleet(o.binary, o.dir, o.record, places, operatorConfig("r7", "1500ms", "lookup", "holdership"))
	if err != nil {
		return false, err
	}
	defer f.Stop()
	inNeed := map[*Machine]bool{f.Machines[0]: true, f.Machines[1]: true}
	var limit atomic.Pointer[string]
	if err := startAll(f, 103, func(e *Exchange) {
		time.Sleep(20 * time.Millisecond)
		header := e.signature()
		if l := limit.Load(); l != nil && inNeed[e.Server.machine] {
			header["Server-Limit"] = *l
		}
		e.Respond(200, header, []byte("done "+e.Run.ID))
	}); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var statuses [600]atomic.Int64
	stop := make(chan struct{})
	for i, m := range f.Machines {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				c := Call{Machine: m, Method: http.MethodPost, Host: "site.example", Target: fmt.Sprintf("/holdership/change/t%d-%d", i, n), Timeout: 5 * time.Second, ID: newID(), Body: []byte("transfer")}
				a := c.Send(1 << 20)
				statuses[a.Status].Add(1)
				o.record.Printf("client on %s sends POST %s id %s: status %d, Server-Limit %q, error %v", m.Name, c.Target, c.ID, a.Status, a.Header.Get("Server-Limit"), a.Err)
			}
		})
	}
	ends := make([]int, len(f.Machines))
	for i, m := range f.Machines {
		wg.Go(func() { ends[i] = restartEnded(f, m, stop) })
	}
	name := func(value string, d time.Duration) {
		o.record.Always("the servers of holdership name Server-Limit %.30s (%d characters) for %v", value, len(value), d)
		limit.Store(&value)
		time.Sleep(d)
	}
	time.Sleep(2 * time.Second)
	name("60", 5*time.Second)
	if o.trouble {
		name(strconv.FormatFloat(math.MaxFloat64, 'f', 1, 64), 10*time.Second)
	} else {
		name("1000000", 10*time.Second)
	}
	o.record.Always("the servers of holdership name no Server-Limit any more")
	limit.Store(nil)
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	ended := 0 // machines on which processes ended by themselves three times
	for i, m := range f.Machines {
		if ends[i] >= 3 {
			ended++
		}
		if ends[i] > 0 {
			o.record.Always("the daemon of %s ended by itself %d times; the first: %s", m.Name, ends[i], firstPanic(m))
		}
	}
	o.record.Always("statuses: none %d, 200 %d, 502 %d, 503 %d, 504 %d", statuses[0].Load(), statuses[200].Load(), statuses[502].Load(), statuses[503].Load(), statuses[504].Load())
	if statuses[200].Load() == 0 {
		return false, errors.New("nothing was served")
	}
	return ended < max(2, (len(f.Machines)+9)/10), nil
}

// restartEnded starts the daemon of a machine again, as the platform does, whenever it has ended by itself. It returns how
// often that was.
func restartEnded(f *Fleet, m *Machine, stop <-chan struct{}) int {
	for ends := 0; ; ends++ {
		exited, _ := m.Exited()
		select {
		case <-stop:
			return ends
		case <-exited:
			f.Record.Always("the daemon of %s has ended by itself", m.Name)
		}
		time.Sleep(500 * time.Millisecond)
		if f.Start(m) != nil {
			return ends + 1
		}
	}
}

// firstPanic returns the start of the panic message in a daemon's log.
func firstPanic(m *Machine) string {
	data, err := os.ReadFile(m.logFile.Name())
	if err != nil {
		return err.Error()
	}
	_, message, ok := strings.Cut(string(data), "panic: ")
	if !ok {
		return "no panic in its log"
	}
	var functions []string
	for line := range strings.Lines(message) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "/") && len(functions) < 6 { // no paths of files
			functions = append(functions, line)
		}
	}
	return strings.Join(functions, " | ")
}
