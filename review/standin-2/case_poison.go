package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["poison"] = crashingRequest }

// contact is the bound of that name in the site file.
const contact = 4 * time.Second

// poisonPath is the path of the request that crashes each backend server that begins to run it.
const poisonPath = "/lookup/change/poison"

// crashes records the crashes of backend servers and in which retries the request reached one.
type crashes struct {
	mu   sync.Mutex
	at   []time.Time
	late map[string]bool // IDs of retries that reached a server later than contact after the third crash
}

// crashingRequest sends a request that crashes backend servers again and again, with the same path, caller and body, while
// the daemons of its service are stopped and started in turn, several times. It counts the retries that reach a server
// later than contact after the third crash, sent by machines that are in touch.
func crashingRequest(o options) (bool, error) {
	places := []Placement{{"lookup", "kin-a", "kingston"}, {"lookup", "mbj-a", "montego"}, {"holdership", "kin-a", "kingston"}, {"holdership", "mbj-a", "montego"}}
	f, err := NewFleet(o.binary, o.dir, o.record, places, operatorConfig("r7", "1500ms", "lookup", "holdership"))
	if err != nil {
		return false, err
	}
	defer f.Stop()
	c := &crashes{late: map[string]bool{}}
	started := map[*Machine]*atomic.Int64{} // Unix nanoseconds of the last start of the daemon
	for _, m := range f.Machines {
		started[m] = new(atomic.Int64)
	}
	if err := startAll(f, 103, func(e *Exchange) {
		if e.Request.URL.Path == poisonPath {
			c.reached(o, e, time.Since(time.Unix(0, started[e.Server.machine].Load())))
			e.Close = true
			e.Server.crash(2 * time.Second)
			return
		}
		time.Sleep(150 * time.Millisecond)
		e.Respond(200, e.signature(), []byte("done "+e.Run.ID))
	}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var accepted, lost atomic.Int64
	origin := f.Machines[2] // of the clients; its daemon runs throughout
	wg.Go(func() { sendOrdinary(o, origin, stop, &accepted, &lost) })
	time.Sleep(contact)
	for round := 0; round < 5; round++ {
		if round > 0 && o.trouble {
			if err := rollDaemons(f, f.Machines[:2], started); err != nil {
				return false, err
			}
		}
		time.Sleep(contact + time.Second)
		sendPoison(o, origin)
	}
	close(stop)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	o.record.Always("%d crashes of servers; %d retries reached a server later than %v after the third crash, sent by machines in touch; %d other changes sent, %d of them ended without a known outcome", len(c.at), len(c.late), contact, accepted.Load(), lost.Load())
	return len(c.late) <= 3, nil
}

// reached records that the request has reached a server whose daemon has run for a time.
func (c *crashes) reached(o options, e *Exchange, uptime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	late := len(c.at) >= 3 && now.Sub(c.at[2]) > contact && uptime > contact
	if late {
		c.late[e.Run.ID] = true
	}
	c.at = append(c.at, now)
	o.record.Always("server %s of %s begins to run the request id %s and crashes, crash %d; its daemon has run for %.1f s; counted: %v", e.Run.Instance, e.Server.machine.Name, e.Run.ID, len(c.at), min(uptime, time.Hour).Seconds(), late)
}

// sendPoison sends the request once a second, each time with another ID, until it was refused three times in a row.
func sendPoison(o options, origin *Machine) {
	for refused, n := 0, 0; refused < 3 && n < 10; n++ {
		call := Call{Machine: origin, Method: http.MethodPost, Host: "site.example", Target: poisonPath, Timeout: 5 * time.Second, ID: newID(), Body: []byte("poison")}
		a := call.Send(1 << 10)
		o.record.Always("client on %s sends POST %s id %s: status %d, error %v", origin.Name, call.Target, call.ID, a.Status, a.Err)
		if a.Status == 503 {
			refused++
		} else {
			refused = 0
		}
		time.Sleep(time.Second)
	}
}

// sendOrdinary sends changes to the same service and counts those that end without a known outcome.
func sendOrdinary(o options, origin *Machine, stop <-chan struct{}, sent, lost *atomic.Int64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		wg.Go(func() {
			c := Call{Machine: origin, Method: http.MethodPost, Host: "site.example", Target: fmt.Sprintf("/lookup/change/t%d", i), Timeout: 5 * time.Second, ID: newID(), Body: []byte("transfer")}
			a := c.Send(1 << 10)
			o.record.Printf("client on %s sends POST %s id %s: status %d, error %v", origin.Name, c.Target, c.ID, a.Status, a.Err)
			sent.Add(1)
			if a.Status != 200 && a.Status != 503 {
				lost.Add(1)
			}
		})
	}
}

// rollDaemons stops the daemons of machines by SIGTERM in turn, 1.3 s apart, and starts each again after it has ended.
func rollDaemons(f *Fleet, machines []*Machine, started map[*Machine]*atomic.Int64) error {
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, m := range machines {
		f.Record.Always("SIGTERM for the daemon of %s", m.Name)
		exited, _ := m.Exited()
		m.Signal(syscall.SIGTERM)
		wg.Go(func() {
			select {
			case <-exited:
			case <-time.After(6 * time.Second):
				m.Kill()
			}
			time.Sleep(500 * time.Millisecond)
			started[m].Store(time.Now().UnixNano())
			if f.Start(m) != nil {
				failed.Store(true)
			}
			f.Record.Always("the daemon of %s has been started again", m.Name)
		})
		time.Sleep(1300 * time.Millisecond)
	}
	wg.Wait()
	if failed.Load() {
		return fmt.Errorf("a daemon can't be started again")
	}
	return f.WaitReady(10 * time.Second)
}
