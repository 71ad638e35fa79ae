// Command peers3 plays the cases of the third review that are scripts. It starts daemons of the project as processes and
// plays the platform's store, the backend servers and the clients itself.
//
//	peers3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// play is what a case gets.
type play struct {
	dir     string // for settings and logs
	rec     *record
	store   *kvStore
	trouble bool
	vms     []*vm
	// memoryMB and slots are those of the machines that deploy starts; 0 leaves the usual ones.
	memoryMB, slots int
	lateServer      string // service whose backend servers deploy doesn't start
}

var cases = map[string]func(*play) int{
	"trailers": trailersCase,
	"leaving":  leavingCase,
	"limit":    limitCase,
	"born":     bornCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: peers3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

func playCase(f func(*play) int, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "peers3-")
	if err != nil {
		return rec.cannotRun("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	p := &play{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if p.store, err = startStore("127.0.0.19"); err != nil {
		return rec.cannotRun("%v", err)
	}
	defer func() {
		for _, v := range p.vms {
			v.stop()
			if v.server != nil {
				v.server.crash()
			}
		}
	}()
	rec.log("trouble: %v", p.trouble)
	return f(p)
}

// deploy starts a daemon and a backend server for each service named, all in one zone, with a configuration for them.
func (p *play) deploy(services ...string) error {
	p.store.put("op/config", config(1, services...))
	for i, s := range services {
		v, err := newVM(p.dir, p.rec, p.store, i+1, "west-a", s, p.memoryMB)
		if err != nil {
			return err
		}
		p.vms = append(p.vms, v)
		if err := v.start(); err != nil {
			return err
		}
		if s == p.lateServer {
			continue
		}
		if _, err := v.startServer(fmt.Sprintf("i-%s-%d", s, i+1), time.Now(), p.slots); err != nil {
			return err
		}
	}
	for _, v := range p.vms {
		if !waitFor(10*time.Second, v.ready) {
			return fmt.Errorf("%s isn't ready", v.name)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
