package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestWithFields returns a read whose head has a number of fields of its own.
func requestWithFields(id string, n int) string {
	var b strings.Builder
	b.WriteString(head("GET", "/lookup/idempotent/"+id, id))
	for i := range n {
		fmt.Fprintf(&b, "x-%s: 1\r\n", shortName(i))
	}
	b.WriteString("\r\n")
	return b.String()
}

// fieldsCase sends single requests, one after the other and without any other load, whose heads are inside maxHeaderBytes
// and have 1,100 fields, or 900 without trouble.
func fieldsCase(p *play) int {
	if err := p.deploy("lookup", "lookup", "entry"); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	entry, n := p.vms[2], 900
	if p.trouble {
		n = 1100
	}
	served, sent := 0, 0
	for i := range 10 {
		id := fmt.Sprintf("f-%d", i)
		text := requestWithFields(id, n)
		if len(text) > maxHeadBytes {
			return p.rec.cannotRun("a head of %d bytes", len(text))
		}
		p.rec.log("%s: client sends a head of %d bytes with %d fields, id %s", entry.name, len(text), n+3, id)
		sent++
		status, err := exchange(entry, text)
		p.rec.log("%s: client gets %d %v to %s", entry.name, status, err, id)
		if status == 200 {
			served++
		}
		time.Sleep(time.Second)
	}
	ordinary := entry.send("GET", "/lookup/idempotent/ordinary", "ordinary", 4*time.Second, "")
	if ordinary.status != 200 {
		p.rec.log("an ordinary request got %d %v", ordinary.status, ordinary.err)
	}
	return p.rec.result(served == 0, "%d of %d single requests inside the limits were served", served, sent)
}

// exchange sends the text of one request on a connection of its own and returns the status of the answer.
func exchange(v *vm, text string) (int, error) {
	c, err := net.DialTimeout("tcp", v.ports["ingress"], time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}
