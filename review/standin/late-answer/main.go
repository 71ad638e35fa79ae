// Command late-answer plays a small deployment in which upstreams leave for planned work. With TROUBLE other than 0, the
// heartbeat that says so is late by some seconds, and a few answers arrive a second time, late. It exits with 1 if a
// request that isn't idempotent ran although its client was told that it didn't, or ran twice.
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
	host          = "ledger.example"
	service       = "holdership"
	timeout       = 5 * time.Second
	slots         = 32
	work          = 15 * time.Millisecond
	clientsPerVM  = 6
	pause         = 15 * time.Millisecond // of a client between two requests
	rounds        = 6
	lateness      = 6 * time.Second
	serveOn       = 3 * time.Second // after the acknowledgement: the bound of 2.5 s and a little longer
	restartAfter  = time.Second
	secondPercent = 2 // share of the answers that may arrive a second time
)

const config = `{"version":"r1","routes":{"transfer":{"host":"ledger.example","pathPrefix":"/transfer/","kind":"non_idempotent",
"timeout":"5000ms","targetLatency":"1500ms","priority":0,"service":"holdership","maxAttempts":2}},
"services":{"holdership":{"healthPath":"/health","maxConnections":718,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

func main() { os.Exit(run()) }

func run() int {
	root, folder := os.Args[1], os.Args[2]
	trouble := os.Getenv("TROUBLE") != "0"
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
	l := deploy.NewLedger()
	if err := play(root, dir, record, l, trouble); err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l.Write(record)
	return judge(l, record)
}

// play starts the deployment and lets each upstream leave in turn, under load.
func play(root, dir string, record *deploy.Record, l *deploy.Ledger, trouble bool) error {
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
	for _, zone := range []string{"kin-a", "kin-b"} {
		for n := 1; n <= 2; n++ {
			v, err := d.AddVM(fmt.Sprintf("sidecar-%s-%d", zone, n), service, zone, "kingston")
			if err != nil {
				return err
			}
			u, err := deploy.NewUpstream(v, slots, work, record)
			if err != nil {
				return err
			}
			defer u.Close()
			u.OnRun = func(_ *deploy.Upstream, instance, id string) { l.Ran(instance, id) }
			upstreams = append(upstreams, u)
			if err := v.Start(); err != nil {
				return err
			}
			background.Go(func() { u.Heartbeats(done) })
		}
	}
	if err := d.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * deploy.Heartbeat)
	var serial atomic.Int64
	for _, v := range d.VMs {
		for range clientsPerVM {
			background.Go(func() { client(v, l, &serial, done) })
		}
	}
	time.Sleep(2 * deploy.Heartbeat)
	for n := range rounds {
		replace(upstreams[n%len(upstreams)], record, trouble)
	}
	time.Sleep(time.Second)
	close(done)
	background.Wait()
	for _, u := range upstreams {
		answers, seconds := u.Counts()
		record.Printf("upstream %s gave %d answers, %d of them a second time", u.VM.Name, answers, seconds)
	}
	return nil
}

// replace lets an upstream leave as planned and starts the next instance in its place.
func replace(u *deploy.Upstream, record *deploy.Record, trouble bool) {
	if trouble {
		u.Second = func(next *http.Request) bool {
			answers, seconds := u.Counts()
			return next.URL.Path == "/health" && 100*(seconds+1) <= secondPercent*answers
		}
	}
	u.SetSilent(true)
	u.SetLeaving(true)
	record.Printf("upstream %s is to leave", u.VM.Name)
	message := u.MakeBeat()
	if trouble {
		time.Sleep(lateness)
	}
	for !u.Send(message) {
		time.Sleep(50 * time.Millisecond)
	}
	record.Printf("the leaving of %s is acknowledged", u.VM.Name)
	time.Sleep(serveOn)
	u.Leave()
	u.Second = nil
	u.CloseConnections()
	record.Printf("upstream %s ends", u.VM.Name)
	time.Sleep(restartAfter)
	u.Restart()
	time.Sleep(2 * deploy.Heartbeat)
}

// client sends transfers to the daemon of its VM, one after the other.
func client(v *deploy.VM, l *deploy.Ledger, serial *atomic.Int64, done <-chan struct{}) {
	c := &deploy.Client{Address: v.Outbound}
	defer c.Close()
	for {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("t%06d", serial.Add(1))
		l.Sent(v, id)
		l.Answered(id, c.Send(http.MethodPost, host, "/transfer/"+id, id, "from A to B", timeout))
		time.Sleep(pause)
	}
}

// judge returns 1 if the rule was broken and 0 if it held.
func judge(l *deploy.Ledger, record *deploy.Record) int {
	refused, twice, foreign := 0, 0, 0
	all := l.Requests()
	for _, r := range all {
		if len(r.Runs) > 1 {
			twice++
			record.Printf("TWICE: request %s ran %d times", r.ID, len(r.Runs))
		}
		if r.Outcome.Promise() && len(r.Runs) > 0 {
			refused++
			record.Printf("REFUSED: request %s was answered %d and ran on %s", r.ID, r.Outcome.Status, r.Runs[0].Instance)
		}
		if r.Outcome.Status == http.StatusOK && r.Outcome.Header.Get("X-Response-Signature") != "s."+r.ID {
			foreign++
			record.Printf("MIXED: request %s got an answer that isn't its own", r.ID)
		}
	}
	result := fmt.Sprintf("%d requests sent; REFUSED %d, TWICE %d, MIXED %d", len(all), refused, twice, foreign)
	record.Printf("%s", result)
	fmt.Println(result)
	if refused+twice+foreign > 0 {
		return 1
	}
	return 0
}
