package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var errNothingServed = errors.New("nothing was served")

// heartbeatInterval is the interval of the platform's settings.
const heartbeatInterval = 1500 * time.Millisecond

// startAll starts all backend servers and daemons, and waits until each daemon reaches each service.
func startAll(f *Fleet, slots int, handle func(e *Exchange)) error {
	var warm atomic.Bool
	warm.Store(true)
	for _, m := range f.Machines {
		_, err := StartServer(m, f.Record, slots, heartbeatInterval, func(e *Exchange) {
			if e.Request.Header.Get("X-Warm") != "" || warm.Load() {
				e.Respond(200, e.signature(), []byte("warm"))
				return
			}
			handle(e)
		})
		if err != nil {
			return err
		}
	}
	for _, m := range f.Machines {
		if err := f.Start(m); err != nil {
			return err
		}
	}
	if err := f.WaitReady(15 * time.Second); err != nil {
		return err
	}
	err := warmUp(f)
	warm.Store(false)
	return err
}

// warmUp sends requests from each machine to each service until eight in a row were served.
func warmUp(f *Fleet) error {
	services := map[string]bool{}
	for _, m := range f.Machines {
		services[m.Service] = true
	}
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, m := range f.Machines {
		for s := range services {
			wg.Go(func() {
				deadline := time.Now().Add(20 * time.Second)
				for inRow := 0; inRow < 8; {
					c := Call{Machine: m, Method: http.MethodGet, Host: "site.example", Target: "/" + s + "/read/warm", Timeout: 2 * time.Second, ID: newID(), Header: "X-Warm: 1\r\n"}
					a := c.Send(1 << 20)
					f.Record.Printf("client on %s sends GET %s id %s before the case begins: status %d", m.Name, c.Target, c.ID, a.Status)
					if a.Status == 200 {
						inRow++
					} else {
						inRow = 0
						time.Sleep(100 * time.Millisecond)
					}
					if time.Now().After(deadline) {
						failed.Store(true)
						return
					}
				}
			})
		}
	}
	wg.Wait()
	if failed.Load() {
		return fmt.Errorf("the deployment doesn't serve")
	}
	return nil
}
