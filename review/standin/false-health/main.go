// Command false-health plays a small deployment in which an upstream leaves while the daemon beside it is stopped and
// started again as planned. The upstream is one of those that send DELETE first. With TROUBLE other than 0, its health
// check passes for some seconds although it leaves. It exits with 1 if requests reach the upstream later than the bound
// after the acknowledgement, sent on by a daemon in touch.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review.example/standin/deploy"
)

const (
	host         = "ledger.example"
	service      = "holdership"
	timeout      = 5 * time.Second
	slots        = 32
	work         = 100 * time.Millisecond
	clientsPerVM = 4
	pause        = 50 * time.Millisecond // of a client between two requests
	restartDelay = 300 * time.Millisecond
	falseFor     = 6500 * time.Millisecond // how long the health check is false
	serveOn      = 16 * time.Second        // how long the upstream serves after its DELETE; at times many seconds
)

const config = `{"version":"r1","routes":{"transfer":{"host":"ledger.example","pathPrefix":"/transfer/","kind":"non_idempotent",
"timeout":"5000ms","targetLatency":"1500ms","priority":0,"service":"holdership","maxAttempts":2}},
"services":{"lookup":{"healthPath":"/health"},"holdership":{"healthPath":"/health"},"docstore":{"healthPath":"/health"},"delegation":{"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

// zones and services are those of the sheet, with one upstream of each service in each zone: 16 in all.
var (
	zones    = []struct{ name, region string }{{"kin-a", "kingston"}, {"kin-b", "kingston"}, {"mbj-a", "montego"}, {"mbj-b", "montego"}}
	services = []string{"lookup", service, "docstore", "delegation"}
)

// observed is what the leaving upstream and the clients saw.
type observed struct {
	mu      sync.Mutex
	acked   time.Time       // when the DELETE was acknowledged
	inTouch time.Time       // from when on the new process of the daemon is in touch
	late    map[string]bool // requests that reached the upstream too late
	ledger  *deploy.Ledger
}

func main() { os.Exit(run()) }

func run() int {
	root, folder := os.Args[1], os.Args[2]
	record, err := deploy.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	o := &observed{late: make(map[string]bool), ledger: deploy.NewLedger()}
	if err := play(root, dir, record, o, os.Getenv("TROUBLE") != "0"); err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	o.ledger.Write(record)
	lost := 0
	for _, r := range o.ledger.Requests() {
		if o.late[r.ID] && r.Outcome.Status != http.StatusOK {
			lost++
		}
	}
	result := fmt.Sprintf("DRAIN: %d requests reached the upstream over %v after the acknowledgement, from a daemon in touch; %d of them got no answer",
		len(o.late), deploy.DrainBound, lost)
	record.Printf("%s", result)
	fmt.Println(result)
	if len(o.late) > 0 {
		return 1
	}
	return 0
}

func play(root, dir string, record *deploy.Record, o *observed, trouble bool) error {
	d, err := deploy.New(root, dir, []byte(config), record)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return err
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	var upstreams []*deploy.Upstream
	var owners []*deploy.VM
	for _, zone := range zones {
		for _, name := range services {
			v, err := d.AddVM("sidecar-"+zone.name+"-"+name, name, zone.name, zone.region)
			if err != nil {
				return err
			}
			u, err := deploy.NewUpstream(v, slots, work, record)
			if err != nil {
				return err
			}
			defer u.Close()
			u.OnRun = func(_ *deploy.Upstream, instance, id string) { o.ledger.Ran(instance, id) }
			if name == service {
				upstreams = append(upstreams, u)
				owners = append(owners, v)
			}
			if err := v.Start(); err != nil {
				return err
			}
			background.Go(func() { u.Heartbeats(done) })
		}
	}
	leaving := upstreams[0]
	leaving.OnRun = o.began(record)
	if err := d.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * deploy.Heartbeat)
	var serial atomic.Int64
	for _, v := range owners {
		for range clientsPerVM {
			background.Go(func() { client(v, o, &serial, done) })
		}
	}
	time.Sleep(2 * deploy.Heartbeat)
	if err := leave(leaving, o, record, trouble); err != nil {
		return err
	}
	time.Sleep(time.Second)
	close(done)
	background.Wait()
	return nil
}

// leave plays the leaving of an upstream together with the restart of its daemon.
func leave(u *deploy.Upstream, o *observed, record *deploy.Record, trouble bool) error {
	u.SetSilent(true)
	u.SetLeaving(true)
	for !u.Leave() {
		time.Sleep(50 * time.Millisecond)
	}
	o.mu.Lock()
	o.acked, o.inTouch = time.Now(), time.Now().Add(time.Hour)
	o.mu.Unlock()
	end := time.Now().Add(serveOn)
	if trouble {
		u.SetFalseHealth(true)
		time.AfterFunc(falseFor, func() { u.SetFalseHealth(false) })
	}
	record.Printf("the DELETE of %s is acknowledged; its daemon gets SIGTERM", u.Instance())
	u.VM.Stop()
	record.Printf("the daemon has ended")
	time.Sleep(restartDelay)
	if err := u.VM.Start(); err != nil {
		return err
	}
	o.mu.Lock()
	o.inTouch = time.Now().Add(deploy.Contact)
	o.mu.Unlock()
	record.Printf("the daemon is started")
	time.Sleep(time.Until(end))
	u.Close()
	record.Printf("the upstream ends, %v after the acknowledgement", serveOn)
	return nil
}

// began returns the function that records requests that reach the leaving upstream.
func (o *observed) began(record *deploy.Record) func(*deploy.Upstream, string, string) {
	return func(_ *deploy.Upstream, instance, id string) {
		o.ledger.Ran(instance, id)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.acked.IsZero() {
			return
		}
		now := time.Now()
		after := now.Sub(o.acked)
		record.Printf("request %s reaches %s %v after the acknowledgement", id, instance, after.Round(time.Millisecond))
		if after > deploy.DrainBound && now.After(o.inTouch) {
			o.late[id] = true
		}
	}
}

// client sends transfers to the daemon of its VM, one after the other, while it is ready.
func client(v *deploy.VM, o *observed, serial *atomic.Int64, done <-chan struct{}) {
	c := &deploy.Client{Address: v.Outbound}
	defer c.Close()
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		if c.Idle() && !v.Ready() {
			continue
		}
		id := fmt.Sprintf("t%06d", serial.Add(1))
		o.ledger.Sent(v, id)
		o.ledger.Answered(id, c.Send(http.MethodPost, host, "/transfer/"+id, id, "from A to B", timeout))
	}
}
