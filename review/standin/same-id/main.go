// Command same-id plays a small deployment in which the upstreams of a service and the daemons beside them are restarted as
// planned, one after the other. With TROUBLE other than 0, the upstreams start again under the ids that they had. Then the
// operator adds a route to the service. It exits with 1 if requests on that route are served less than a quarter as often as
// those on the first routes, in steady state.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review.example/standin/deploy"
)

const (
	host        = "ledger.example"
	timeout     = 5 * time.Second
	slots       = 32
	work        = 200 * time.Millisecond
	pause       = 50 * time.Millisecond // of a client between two requests
	clients     = 6                     // of each of the first routes and VM of the entries
	serveOn     = 3 * time.Second       // after the acknowledgement of the leaving: the bound of 2.5 s and a little longer
	startAgain  = time.Second           // from the end of the daemon to the next start of the upstream
	daemonAfter = 400 * time.Millisecond
	measured    = 15 * time.Second
	minRequests = 20
	minShare    = 0.25
)

const routes = `"whois":{"host":"ledger.example","pathPrefix":"/whois/","kind":"idempotent","timeout":"5000ms","targetLatency":"1500ms","priority":2,"service":"lookup","maxAttempts":2},
"transfer":{"host":"ledger.example","pathPrefix":"/transfer/","kind":"non_idempotent","timeout":"5000ms","targetLatency":"1500ms","priority":0,"service":"holdership","maxAttempts":2}`

const added = `,
"allocate":{"host":"ledger.example","pathPrefix":"/allocate/","kind":"non_idempotent","timeout":"5000ms","targetLatency":"1500ms","priority":0,"service":"holdership","maxAttempts":2}`

const rest = `},
"services":{"holdership":{"healthPath":"/health","maxConnections":718,"protocol":"h1","tls":false},
"lookup":{"healthPath":"/health","maxConnections":718,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

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
	l := deploy.NewLedger()
	from, err := play(root, dir, record, l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l.Write(record)
	return judge(l, record, from)
}

// play returns the time from which on requests count.
func play(root, dir string, record *deploy.Record, l *deploy.Ledger, trouble bool) (time.Time, error) {
	d, err := deploy.New(root, dir, []byte(`{"version":"r1","routes":{`+routes+rest), record)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return time.Time{}, err
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	var owners []*deploy.Upstream
	var entries []*deploy.VM
	for _, zone := range []string{"kin-a", "kin-b"} {
		for _, service := range []string{"holdership", "lookup"} {
			v, err := d.AddVM("sidecar-"+service+"-"+zone, service, zone, "kingston")
			if err != nil {
				return time.Time{}, err
			}
			u, err := deploy.NewUpstream(v, slots, work, record)
			if err != nil {
				return time.Time{}, err
			}
			defer u.Close()
			u.OnRun = func(_ *deploy.Upstream, instance, id string) { l.Ran(instance, id) }
			if err := v.Start(); err != nil {
				return time.Time{}, err
			}
			if service == "holdership" {
				owners = append(owners, u)
			} else {
				entries = append(entries, v)
			}
			background.Go(func() { u.Heartbeats(done) })
		}
	}
	if err := d.AwaitReady(); err != nil {
		return time.Time{}, err
	}
	time.Sleep(2 * deploy.Heartbeat)
	var serial atomic.Int64
	for _, v := range entries {
		for range clients {
			background.Go(func() { client(v, "/whois/", l, &serial, done) })
			background.Go(func() { client(v, "/transfer/", l, &serial, done) })
		}
	}
	time.Sleep(2 * deploy.Heartbeat)
	for _, u := range owners {
		if err := restart(u, record, trouble, done, &background); err != nil {
			return time.Time{}, err
		}
		time.Sleep(2*deploy.Heartbeat + deploy.Contact)
	}
	if err := d.PutConfig([]byte(`{"version":"r2","routes":{` + routes + added + rest)); err != nil {
		return time.Time{}, err
	}
	record.Printf("the version r2 with the route /allocate/ is acknowledged")
	time.Sleep(deploy.Contact)
	from := time.Now()
	for _, v := range entries {
		background.Go(func() { client(v, "/allocate/", l, &serial, done) })
	}
	time.Sleep(measured)
	close(done)
	background.Wait()
	return from, nil
}

// restart stops an upstream and the daemon beside it as planned and starts both again.
func restart(u *deploy.Upstream, record *deploy.Record, sameID bool, done chan struct{}, background *sync.WaitGroup) error {
	u.SetLeaving(true)
	for !u.Beat() {
		time.Sleep(50 * time.Millisecond)
	}
	record.Printf("the leaving of %s is acknowledged", u.Instance())
	time.Sleep(serveOn)
	u.SetSilent(true)
	u.Leave()
	u.CloseConnections()
	record.Printf("upstream %s ends; its daemon gets SIGTERM", u.Instance())
	u.VM.Stop()
	time.Sleep(startAgain)
	if sameID {
		u.RestartSameID()
	} else {
		u.Restart()
	}
	u.SetSilent(true) // this instance has heartbeats of its own
	background.Go(func() {
		for {
			record.Printf("heartbeat of %s, acknowledged: %v", u.Instance(), u.Beat())
			select {
			case <-done:
				return
			case <-time.After(deploy.Heartbeat):
			}
		}
	})
	time.Sleep(daemonAfter)
	record.Printf("the daemon beside %s starts", u.VM.Name)
	return u.VM.Start()
}

// client sends requests to the daemon of a VM, one after the other.
func client(v *deploy.VM, path string, l *deploy.Ledger, serial *atomic.Int64, done <-chan struct{}) {
	c := &deploy.Client{Address: v.Outbound}
	defer c.Close()
	method := http.MethodPost
	if path == "/whois/" {
		method = http.MethodGet
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("%s%06d", strings.Trim(path, "/"), serial.Add(1))
		l.Sent(v, id)
		o := c.Send(method, host, path+id, id, "", timeout)
		l.Answered(id, o)
		if seconds, err := strconv.ParseFloat(o.Header.Get("Retry-After"), 64); err == nil && o.Promise() {
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
	}
}

// judge returns 1 if the rule was broken and 0 if it held.
func judge(l *deploy.Ledger, record *deploy.Record, from time.Time) int {
	var first, later, firstServed, laterServed int
	for _, r := range l.Requests() {
		if r.Sent.Before(from) {
			continue
		}
		served := 0
		if r.Outcome.Status == http.StatusOK {
			served = 1
		}
		if strings.HasPrefix(r.ID, "allocate") {
			later++
			laterServed += served
		} else {
			first++
			firstServed += served
		}
	}
	result := fmt.Sprintf("CONFIG: in steady state %d of %d requests on the added route are served, %d of %d on the first routes",
		laterServed, later, firstServed, first)
	record.Printf("%s", result)
	fmt.Println(result)
	if later < minRequests || first < minRequests {
		return 2
	}
	if float64(laterServed)/float64(later) < minShare*float64(firstServed)/float64(first) {
		return 1
	}
	return 0
}
