package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usage is what a process holds.
type usage struct {
	resident    int64 // memory, in bytes
	unread      int64 // bytes that arrived on its sockets and were not read
	descriptors int
}

// processUsage returns what a daemon's process holds. It counts connections that the daemon has not accepted yet.
func (v *vm) processUsage() (usage, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon == nil {
		return usage{}, fmt.Errorf("daemon %s doesn't run", v.name)
	}
	proc := fmt.Sprintf("/proc/%d", v.daemon.Process.Pid)
	sockets, descriptors, err := openSockets(proc)
	if err != nil {
		return usage{}, err
	}
	resident, err := residentBytes(proc)
	if err != nil {
		return usage{}, err
	}
	unread, err := unreadBytes(sockets, v.ingressAddress)
	return usage{resident: resident, unread: unread, descriptors: descriptors}, err
}

// openSockets returns the inodes of a process's sockets, and the number of all its descriptors.
func openSockets(proc string) (map[string]bool, int, error) {
	entries, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return nil, 0, err
	}
	sockets := make(map[string]bool)
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(proc, "fd", e.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, len(entries), nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(proc string) (int64, error) {
	data, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s/statm has %d fields", proc, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// Fields of a line of /proc/net/tcp, and the state of a listening socket.
const (
	fieldLocal  = 1
	fieldState  = 3
	fieldQueues = 4 // of bytes to send and of bytes to read
	fieldInode  = 9
	stateListen = "0A"
)

// unreadBytes returns the bytes to read on the sockets with the given inodes, and on connections to the address that no
// process has accepted yet.
func unreadBytes(inodes map[string]bool, address string) (int64, error) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	port, err := strconv.Atoi(address[strings.LastIndex(address, ":")+1:])
	if err != nil {
		return 0, err
	}
	localPort := fmt.Sprintf(":%04X", port)
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= fieldInode || fields[fieldState] == stateListen {
			continue
		}
		notAccepted := fields[fieldInode] == "0" && strings.HasSuffix(fields[fieldLocal], localPort)
		if !inodes[fields[fieldInode]] && !notAccepted {
			continue
		}
		_, queue, _ := strings.Cut(fields[fieldQueues], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err == nil { // else it is the header line
			sum += unread
		}
	}
	return sum, nil
}

// samplingInterval is the interval at which a usageMeter looks at the processes.
const samplingInterval = 25 * time.Millisecond

// usageMeter records the most that each daemon's process has held.
type usageMeter struct {
	mu   sync.Mutex
	peak map[string]usage // by daemon; the unread bytes of the time at which memory and unread bytes were highest together
	each chan struct{}    // receives after each round of samples, if somebody waits
	stop chan struct{}
	done sync.WaitGroup
}

func newUsageMeter(vms []*vm) *usageMeter {
	m := &usageMeter{peak: make(map[string]usage), each: make(chan struct{}), stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			for _, v := range vms {
				m.sample(v)
			}
			select {
			case m.each <- struct{}{}:
			default:
			}
			select {
			case <-m.stop:
				return
			case <-time.After(samplingInterval):
			}
		}
	})
	return m
}

// awaitRounds waits until all processes were sampled a number of times.
func (m *usageMeter) awaitRounds(n int) {
	for range n {
		<-m.each
	}
}

func (m *usageMeter) sample(v *vm) {
	now, err := v.processUsage()
	if err != nil {
		return // a daemon that doesn't run fails the test elsewhere
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	peak := m.peak[v.name]
	if now.resident+now.unread > peak.resident+peak.unread {
		peak.resident, peak.unread = now.resident, now.unread
	}
	peak.descriptors = max(peak.descriptors, now.descriptors)
	m.peak[v.name] = peak
}

// check ends the recording and fails the test for each process that has held more than the limits allow.
func (m *usageMeter) check(t *testing.T, limits processLimits) {
	t.Helper()
	close(m.stop)
	m.done.Wait()
	for name, u := range m.peak {
		const mib = 1 << 20
		t.Logf("%s: resident %d MiB and unread %d MiB, %d descriptors", name, u.resident/mib, u.unread/mib, u.descriptors)
		if u.resident+u.unread > int64(limits.memoryMB)*mib {
			t.Errorf("%s held %d MiB, the limit is %d", name, (u.resident+u.unread)/mib, limits.memoryMB)
		}
		if limits.files > 0 && u.descriptors > limits.files {
			t.Errorf("%s held %d descriptors, the limit is %d", name, u.descriptors, limits.files)
		}
	}
}
