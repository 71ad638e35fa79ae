package main

import (
	"net/http"
	"time"
)

// callerService sends requests with a caller's service of the client's own, which the Connection header names as a field
// of this connection only, and checks which caller's service the backend servers receive.
func callerService(o options) (bool, error) {
	places := []Placement{{"lookup", "kin-a", "kingston"}, {"lookup", "mbj-a", "montego"}, {"holdership", "kin-a", "kingston"}, {"holdership", "mbj-a", "montego"}}
	f, err := NewFleet(o.binary, o.dir, o.record, places, operatorConfig("r7", "1500ms", "lookup", "holdership"))
	if err != nil {
		return false, err
	}
	defer f.Stop()
	if err := startAll(f, 103, func(e *Exchange) {
		time.Sleep(20 * time.Millisecond)
		e.Respond(200, e.signature(), []byte("done "+e.Run.ID))
	}); err != nil {
		return false, err
	}
	origin := f.Machines[0]
	sent := map[string]bool{}
	header := "X-Caller-Service: billing\r\nConnection: keep-alive\r\n"
	if o.trouble {
		header = "X-Caller-Service: billing\r\nConnection: keep-alive, X-Caller-Service\r\n"
	}
	served := 0
	for i := range 40 {
		c := Call{Machine: origin, Method: http.MethodGet, Host: "site.example", Target: "/holdership/read/b1", Timeout: 5 * time.Second, ID: newID(), Header: header}
		if i%2 == 1 {
			c.Method, c.Target, c.Body = http.MethodPost, "/holdership/change/t1", []byte("transfer")
		}
		sent[c.ID] = true
		a := c.Send(1 << 20)
		if a.Status == 200 {
			served++
		}
		o.record.Printf("client on %s (service %s) sends %s %s id %s, header %q: status %d", origin.Name, origin.Service, c.Method, c.Target, c.ID, header, a.Status)
	}
	broken := 0
	for _, m := range f.Machines {
		for _, r := range m.Server.Runs() {
			if !sent[r.ID] {
				continue
			}
			o.record.Printf("server %s (%s) runs %s %s id %s, X-Caller-Service %q", r.Instance, r.Service, r.Method, r.Target, r.ID, r.Caller)
			if r.Caller != origin.Service {
				broken++
			}
		}
	}
	o.record.Always("%d requests, %d answered with 200, %d ran with another X-Caller-Service than %q", len(sent), served, broken, origin.Service)
	if served == 0 {
		return false, errNothingServed
	}
	return broken == 0, nil
}
