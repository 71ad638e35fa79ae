package daemon

import (
	"context"
	"errors"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/outcome"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/transport"
	"guavapoint.example/guavapoint/internal/wire"
)

// errUnsupported reports a control message of a kind that this daemon doesn't handle.
var errUnsupported = errors.New("unsupported control message")

// ServeCall implements transport.Handler. It handles a call from another daemon.
func (d *Daemon) ServeCall(s *transport.CallStream) {
	<-d.ready
	d.recordPeerVersion(s.Header().From, s.Header().Config)
	d.recordPeerReport(s.Header().Backend)
	d.upstream.serveCall(s)
}

// ServeControl implements transport.Handler. It handles a control message and returns the reply, which is nil for
// messages that need none.
func (d *Daemon) ServeControl(ctx context.Context, _ string, m *wire.Control) (*wire.Control, error) {
	<-d.ready
	d.recordPeerVersion(m.From, m.Config)
	reply, err := d.serveControl(ctx, m)
	if reply != nil {
		d.setSenderFields(reply)
	}
	return reply, err
}

func (d *Daemon) serveControl(ctx context.Context, m *wire.Control) (*wire.Control, error) {
	switch {
	case m.TokenRequest != nil:
		return &wire.Control{TokenGrant: d.upstream.grantToken(m.TokenRequest)}, nil
	case m.ResolveRequest != nil:
		return &wire.Control{ResolveAnswer: d.upstream.resolveToken(m.ResolveRequest)}, nil
	case m.Membership != nil:
		err := d.members.handleMessage(m.Membership.Payload)
		if err != nil {
			d.log.Log(events.MembershipMessageInvalid, m.From, err.Error())
		}
		return nil, err
	case m.Ping != nil:
		return nil, nil // only carries a configuration version, which ServeControl has recorded
	case m.ConfigPull != nil:
		return d.serveConfigPull(m.ConfigPull)
	case m.Quarantine != nil:
		return nil, d.handleQuarantine(m.From, m.Quarantine)
	case m.Departures != nil:
		d.recordToldDepartures(m.From, m.Departures)
		return nil, nil
	case m.DepartureQuery != nil:
		return d.answerDepartureQuery(m.From), nil
	default:
		return nil, errUnsupported
	}
}

// setSenderFields sets the fields that every control message carries: the sender's address and configuration version.
func (d *Daemon) setSenderFields(m *wire.Control) {
	m.From = d.settings.PeerAddress
	m.Config = wireVersion(d.config)
}

// grantToken issues a token for a request of the given rank. It refuses with a reason instead if the request itself
// would be refused at present, or if the token table is full.
func (u *upstream) grantToken(r *wire.TokenRequest) *wire.TokenGrant {
	cutoff := u.admission.cutoff()
	refuse := func(reason call.Reason) *wire.TokenGrant {
		return &wire.TokenGrant{Reason: reason, Cutoff: cutoff}
	}
	switch {
	case r.Service != u.service:
		return refuse(call.ReasonWrongUpstream)
	case u.drain.draining():
		return refuse(call.ReasonLeaving)
	case r.Rank < cutoff:
		return refuse(call.ReasonOverload)
	}
	tok, err := u.tokens.issue(u.service, u.self)
	if err != nil {
		return refuse(call.ReasonTableFull)
	}
	return &wire.TokenGrant{Token: tok.String(), Cutoff: cutoff}
}

// resolveToken returns the outcome of a token. A token that was not used is marked refused, so that its request can't
// run after its caller was told that it did not.
func (u *upstream) resolveToken(r *wire.ResolveRequest) *wire.ResolveAnswer {
	tok, err := call.ParseToken(r.Token)
	if err != nil || tok.Upstream != u.self {
		return &wire.ResolveAnswer{Outcome: call.OutcomeUnknown, Reason: call.ReasonIncarnationGone}
	}
	if r.Minted {
		_ = u.tokens.addMinted(tok) // for a token that can't be added, resolve returns an error
	}
	decision, answer, err := u.tokens.resolve(tok)
	if err == nil && decision == outcome.Running {
		return &wire.ResolveAnswer{Outcome: call.OutcomeUnknown, Reason: call.ReasonStillRunning}
	}
	res := tableResult(decision, answer, err)
	return &wire.ResolveAnswer{Outcome: res.outcome, Reason: res.reason, Status: res.status, Header: res.header,
		Body: res.bodyPrefix, Backend: u.backendReport()}
}

// sendControl sends a control message and ignores failures: the protocols that use it repeat lost messages.
func (d *Daemon) sendControl(address string, m *wire.Control) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	d.setSenderFields(m)
	_ = d.transport.Send(ctx, address, m)
}
