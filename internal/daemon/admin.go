package daemon

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/events"
)

// State is the response body of GET /state on the admin listener.
type State struct {
	Name          string       `json:"name"`
	Service       string       `json:"service"`
	Region        string       `json:"region"`
	Zone          string       `json:"zone"`
	PeerAddress   string       `json:"peer_address"`
	CallAddress   string       `json:"call_address"`
	Incarnation   string       `json:"incarnation"`
	State         string       `json:"state"`
	ConfigVersion string       `json:"config_version"`
	ActivePreset  string       `json:"active_preset"`
	Load          LoadState    `json:"load"`
	Members       []Member     `json:"members"`
	Quarantine    []Quarantine `json:"quarantine"`
}

// LoadState is the admission state of a daemon.
type LoadState struct {
	Limit    int       `json:"limit"`
	InFlight int       `json:"in_flight"`
	Waiting  int       `json:"waiting"`
	Cutoff   call.Rank `json:"cutoff"`
	// CutoffClass is the class of the cutoff rank; requests of lower classes are refused. It is empty without overload.
	CutoffClass string `json:"cutoff_class,omitempty"`
}

// Member is one daemon in the membership table.
type Member struct {
	Address     string `json:"address"`
	CallAddress string `json:"call_address"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Slots       int    `json:"slots"`
}

// Quarantine is one suspect or confirmed fingerprint.
type Quarantine struct {
	Fingerprint string    `json:"fingerprint"`
	State       string    `json:"state"`
	Until       time.Time `json:"until"` // when the state expires
}

// adminRouter returns the handler of the admin listener.
func (d *Daemon) adminRouter() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", d.telemetry.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/state", d.serveState).Methods(http.MethodGet)
	r.HandleFunc("/config", d.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/drain", d.serveDrain).Methods(http.MethodPost)
	r.HandleFunc("/quarantine/{fingerprint}", d.serveLiftQuarantine).Methods(http.MethodDelete)
	return r
}

func (d *Daemon) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.State())
}

// Config is the response body of GET /config on the admin listener.
type Config struct {
	Epoch    uint64           `json:"epoch"`
	Revision uint64           `json:"revision"`
	Document *config.Document `json:"document,omitempty"`
}

// serveConfig returns the configuration in effect. The operator's command compares it with the platform's, to detect a
// platform that was restored from an older copy.
func (d *Daemon) serveConfig(w http.ResponseWriter, _ *http.Request) {
	v, doc := d.config.Current()
	writeJSON(w, http.StatusOK, Config{Epoch: v.Epoch, Revision: v.Revision, Document: doc})
}

// DrainResponse is the response body of POST /drain on the admin listener.
type DrainResponse struct {
	State string `json:"state"`
	// InFlight is the number of requests that the drain waits for.
	InFlight int `json:"in_flight"`
	// Limit is the drain limit of the settings, the longest time from the start of the drain to the exit, as a Go
	// duration such as "30s".
	Limit string `json:"limit"`
}

// serveDrain starts a graceful shutdown, as SIGTERM does.
func (d *Daemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	d.Drain()
	writeJSON(w, http.StatusAccepted, DrainResponse{
		State:    d.memberState().String(),
		InFlight: d.drain.inFlight(),
		Limit:    d.settings.DrainLimit.String(),
	})
}

// serveLiftQuarantine ends the quarantine of the fingerprint in the path, which is abbreviated to its first 8 bytes as
// in State. The response is 404 if that fingerprint isn't quarantined.
func (d *Daemon) serveLiftQuarantine(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["fingerprint"]
	for _, rec := range d.quarantine.records() {
		if !canLift(rec, d.now()) || rec.Fingerprint.String() != name {
			continue
		}
		if d.quarantine.lift(rec.Fingerprint) {
			d.log.Log(events.QuarantineLifted, name)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	writeError(w, &requestError{http.StatusNotFound, "unknown-fingerprint", "no such fingerprint is quarantined"})
}

// canLift reports whether a record is suspect or confirmed. Cleared and lifted records, which are kept for a time, are
// no longer quarantined.
func canLift(r quarantine.Record, now time.Time) bool {
	state := r.StateAt(now)
	return state == quarantine.Suspect || state == quarantine.Confirmed
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the operator has disconnected
}

// State returns the state of this daemon as GET /state shows it.
func (d *Daemon) State() State {
	version, doc := d.config.Current()
	s := State{
		Name:          d.settings.Name,
		Service:       d.settings.Service,
		Region:        d.settings.Region,
		Zone:          d.settings.Zone,
		PeerAddress:   d.settings.PeerAddress,
		CallAddress:   d.settings.CallAddress,
		Incarnation:   formatIncarnation(d.incarnation),
		State:         d.memberState().String(),
		ConfigVersion: version.String(),
		Load:          loadState(d.admission.load(), d.admission.cutoff()),
		Members:       d.memberList(),
		Quarantine:    quarantineList(d.quarantine.records(), d.now()),
	}
	if doc != nil {
		s.ActivePreset = doc.ActivePresetName
	}
	return s
}

func loadState(l admission.Load, cutoff call.Rank) LoadState {
	s := LoadState{Limit: l.Limit, InFlight: l.InFlight, Waiting: l.Waiting, Cutoff: cutoff}
	if cutoff > 0 {
		s.CutoffClass = cutoff.Class().String()
	}
	return s
}

// memberList returns all known members, sorted by region, zone, service and address.
func (d *Daemon) memberList() []Member {
	records := d.members.records()
	list := make([]Member, 0, len(records))
	for _, r := range records {
		list = append(list, Member{
			Address:     r.Address,
			CallAddress: r.CallAddress,
			Service:     r.Service,
			Region:      r.Region,
			Zone:        r.Zone,
			State:       r.State.String(),
			Slots:       r.Slots,
		})
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// quarantineList returns the records that are suspect or confirmed at now.
func quarantineList(records []quarantine.Record, now time.Time) []Quarantine {
	list := make([]Quarantine, 0, len(records))
	for _, r := range records {
		switch state := r.StateAt(now); state {
		case quarantine.Suspect:
			list = append(list, Quarantine{r.Fingerprint.String(), state.String(), r.SuspectUntil})
		case quarantine.Confirmed:
			list = append(list, Quarantine{r.Fingerprint.String(), state.String(), r.ConfirmedUntil})
		}
	}
	return list
}
