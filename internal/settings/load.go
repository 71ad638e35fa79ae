package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Load reads and checks a settings file, including the TLS files that it names. It returns a *ReadError when the file
// can't be read and an *InvalidError with all problems when its content is not accepted.
func Load(file string) (*Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	s, problems := decode(file, data)
	if s != nil {
		if s.TLS.Configured() || s.Ingress == nil {
			s.TLS.resolvePaths(filepath.Dir(file))
			problems = append(problems, s.TLS.validateFiles(file)...)
		}
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	s.File = file
	return s, nil
}

// Parse checks the content of a settings file without touching the TLS files that it names. The file name is used in
// errors only. It returns an *InvalidError with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	s, problems := decode(file, data)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return s, nil
}

// readFile reads at most MaxFileSize+1 bytes. The extra byte lets decode detect a file that is too large.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxFileSize+1))
}

// decode parses and checks the content of a settings file, without the TLS files. It returns all problems, and nil
// settings when the data is too large or not one JSON object.
func decode(file string, data []byte) (*Settings, []Problem) {
	r := &reader{file: file}
	if len(data) > MaxFileSize {
		r.report("", fmt.Sprintf("more than %d bytes", MaxFileSize), fmt.Sprintf("up to %d bytes", MaxFileSize))
		return nil, r.problems
	}
	root, err := parseTree(data)
	if err != nil {
		r.report("", err.Error(), "one JSON object")
		return nil, r.problems
	}
	if root.kind != kindObject {
		r.report("", describe(&root), "one JSON object")
		return nil, r.problems
	}
	s := r.settings(&root)
	return s, r.problems
}

// settings reads all fields of the root object and reports their problems.
func (r *reader) settings(root *node) *Settings {
	o := r.object("", root, "name", "service", "region", "zone", "peer_address", "call_address", "admin_address",
		"backend", "tls", "platform", "peers", "calls", "telemetry", "log", "drain_limit", "ingress", "bounds", "memory_mb", "max_files", "kill_after", "peer_bind")
	s := &Settings{
		Name:         o.text("name", "", nameRule),
		Service:      o.text("service", "", nameRule),
		Region:       o.text("region", "", nameRule),
		Zone:         o.text("zone", "", nameRule),
		PeerAddress:  o.text("peer_address", "", addressRule),
		CallAddress:  o.text("call_address", "", addressRule),
		AdminAddress: o.text("admin_address", "", listenRule),
	}
	s.PeerBind = s.PeerAddress
	if o.get("peer_bind") != nil {
		s.PeerBind = o.text("peer_bind", "", addressRule)
	}
	r.checkDistinct("call_address", s.CallAddress, "peer_bind", s.PeerBind)
	r.checkDistinct("admin_address", s.AdminAddress, "call_address", s.CallAddress)
	r.checkDistinct("admin_address", s.AdminAddress, "peer_bind", s.PeerBind)
	s.Backend = r.backend(o.get("backend"))
	if o.get("memory_mb") != nil {
		s.MemoryMB = o.integer("memory_mb", 32, 1<<20)
	}
	if o.get("max_files") != nil {
		s.MaxFiles = o.integer("max_files", minMaxFiles, 1<<30)
	}
	s.Ingress = r.ingress(o.get("ingress"))
	s.Bounds = r.bounds(o.get("bounds"))
	if o.get("tls") != nil || s.Ingress == nil {
		s.TLS = r.tls(o.get("tls"))
	}
	s.Platform = r.platform(o.get("platform"))
	s.Peers = o.list("peers", 0, MaxPeers, addressRule)
	s.Calls = o.list("calls", 0, MaxCalls, nameRule)
	telemetry := r.object("telemetry", o.get("telemetry"), "otlp_url")
	s.Telemetry.OTLPURL = telemetry.text("otlp_url", "", collectorRule)
	log := r.object("log", o.get("log"), "level")
	s.Log.Level = log.text("level", DefaultLogLevel, levelRule)
	s.DrainLimit = o.duration("drain_limit", DefaultDrainLimit, MinDrainLimit, MaxDrainLimit)
	if killAfter := o.duration("kill_after", 0, MinDrainLimit+killMargin, MaxDrainLimit); killAfter > 0 {
		s.DrainLimit = min(s.DrainLimit, killAfter-killMargin)
	}
	return s
}

// minMaxFiles is the least number of descriptors with which a daemon can serve.
const minMaxFiles = 64

// checkDistinct reports a field whose address equals that of another field. An empty address is not compared, since it
// has been reported already.
func (r *reader) checkDistinct(field, address, otherField, otherAddress string) {
	if address != "" && address == otherAddress {
		r.report(field, strconv.Quote(address)+", which is also "+otherField, "an address of its own")
	}
}

// killMargin is the time between the end of the drain and the kill of the process. Connections are closed in it.
const killMargin = 700 * time.Millisecond

// backend reads the backend server's settings. A backend server that announces itself gives its slots by heartbeats, so
// only its URL is read; Slots and Connections are placeholders.
func (r *reader) backend(n *node) Backend {
	o := r.object("backend", n, "url", "slots", "connections", "announced")
	if o.boolean("announced") {
		return Backend{URL: o.text("url", "", announcedRule), Slots: 1, Connections: MaxConnections, Announced: true}
	}
	b := Backend{
		URL:         o.text("url", "", backendRule),
		Slots:       o.integer("slots", 1, MaxSlots),
		Connections: o.integer("connections", 1, MaxConnections),
	}
	if b.Connections != 0 && b.Connections < b.Slots {
		r.report("backend.connections", fmt.Sprintf("the number %d", b.Connections),
			fmt.Sprintf("at least backend.slots (%d), since each running request takes a connection", b.Slots))
	}
	return b
}

// ingress returns nil when the settings have no ingress.
func (r *reader) ingress(n *node) *Ingress {
	if n == nil {
		return nil
	}
	o := r.object("ingress", n, "address", "ready_address", "announce_address")
	return &Ingress{
		Address:         o.text("address", "", addressRule),
		ReadyAddress:    o.text("ready_address", "", addressRule),
		AnnounceAddress: o.text("announce_address", "", addressRule),
	}
}

// bounds returns the defaults when the settings have no bounds.
func (r *reader) bounds(n *node) Bounds {
	b := Bounds{RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack, RetryWindow: DefaultRetryWindow}
	if n == nil {
		return b
	}
	o := r.object("bounds", n, "retry_ratio", "retry_slack", "retry_window")
	b.RetryRatio = o.fraction("retry_ratio")
	b.RetrySlack = o.integer("retry_slack", 0, MaxSlots)
	b.RetryWindow = o.duration("retry_window", DefaultRetryWindow, time.Second, time.Hour)
	return b
}

func (r *reader) tls(n *node) TLS {
	o := r.object("tls", n, "certificate", "key", "authority")
	return TLS{
		Certificate: o.text("certificate", "", fileRule),
		Key:         o.text("key", "", fileRule),
		Authority:   o.text("authority", "", fileRule),
	}
}

func (r *reader) platform(n *node) Platform {
	o := r.object("platform", n, "urls")
	return Platform{URLs: o.list("urls", 1, MaxPlatformURLs, platformRule)}
}

// resolvePaths joins relative file names to dir.
func (t *TLS) resolvePaths(dir string) {
	for _, name := range []*string{&t.Certificate, &t.Key, &t.Authority} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// validateFiles reads the PEM files and reports those that can't be read, a certificate that doesn't match its key, and
// an authority file without certificates. It skips files that were not named, which decode reports.
func (t *TLS) validateFiles(file string) []Problem {
	r := &reader{file: file}
	certificate := r.readPEM("tls.certificate", t.Certificate)
	key := r.readPEM("tls.key", t.Key)
	authority := r.readPEM("tls.authority", t.Authority)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			r.report("tls.certificate", fmt.Sprintf("the file %q, which doesn't match tls.key (%v)", t.Certificate, err),
				"a PEM certificate and the PEM key that belongs to it")
		}
	}
	if authority != nil && !x509.NewCertPool().AppendCertsFromPEM(authority) {
		r.report("tls.authority", fmt.Sprintf("the file %q without a certificate", t.Authority), "PEM certificates")
	}
	return r.problems
}

// readPEM returns the content of the file, or nil when the name is empty or when it reports that the file can't be
// read.
func (r *reader) readPEM(path, name string) []byte {
	if name == "" {
		return nil
	}
	data, err := readFile(name)
	if err == nil {
		return data
	}
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	r.report(path, fmt.Sprintf("the file %q that can't be read (%v)", name, err), "a readable PEM file")
	return nil
}
