package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/daemon"
)

const (
	// adminTimeout bounds one call to an admin listener. It covers a round trip between regions (60 ms) many times over.
	adminTimeout = 2 * time.Second
	// maxAdminResponse bounds a response in bytes. The largest is the state at the target size: 6,300 members of
	// about 250 bytes and 10,000 fingerprints of about 100 bytes.
	maxAdminResponse = 8 << 20
)

// adminHTTP uses no proxy, since admin addresses are within the deployment.
var adminHTTP = &http.Client{Transport: &http.Transport{}}

// adminError is an error response of an admin listener.
type adminError struct {
	status        int
	code, message string
}

func (e *adminError) Error() string {
	if e.code == "" {
		return fmt.Sprintf("status %d", e.status)
	}
	return fmt.Sprintf("%s (%s)", e.message, e.code)
}

// adminClient is the admin listener of one daemon.
type adminClient struct {
	address string
}

func (a adminClient) call(ctx context.Context, method, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "daemon %s", a.address)
	}
	resp, err := adminHTTP.Do(req)
	if err != nil {
		return eris.Wrapf(err, "daemon %s", a.address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponse))
	if err != nil {
		return eris.Wrapf(err, "daemon %s", a.address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrapf(newAdminError(resp.StatusCode, body), "daemon %s", a.address)
	}
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(body, result), "daemon %s: %s %s", a.address, method, path)
}

func newAdminError(status int, body []byte) error {
	var response struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	_ = json.Unmarshal(body, &response) // a response of another server has no code
	return &adminError{status: status, code: response.Code, message: response.Message}
}

func (a adminClient) state(ctx context.Context) (daemon.State, error) {
	var s daemon.State
	err := a.call(ctx, http.MethodGet, "/state", &s)
	return s, err
}

// config returns the configuration in effect; the document is nil if the daemon has none.
func (a adminClient) config(ctx context.Context) (config.Version, *config.Document, error) {
	var c struct {
		Epoch    uint64          `json:"epoch"`
		Revision uint64          `json:"revision"`
		Document json.RawMessage `json:"document"`
	}
	if err := a.call(ctx, http.MethodGet, "/config", &c); err != nil {
		return config.Version{}, nil, err
	}
	v := config.Version{Epoch: c.Epoch, Revision: c.Revision}
	if len(c.Document) == 0 {
		return v, nil, nil
	}
	doc, err := config.Parse(c.Document)
	return v, doc, eris.Wrapf(err, "daemon %s: configuration", a.address)
}

func (a adminClient) drain(ctx context.Context) (daemon.DrainAnswer, error) {
	var answer daemon.DrainAnswer
	err := a.call(ctx, http.MethodPost, "/drain", &answer)
	return answer, err
}

func (a adminClient) lift(ctx context.Context, fingerprint string) error {
	return a.call(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(fingerprint), nil)
}

// commandError turns a failed command to a daemon into an error with an exit code. Without a response, it is not known
// whether the daemon carried it out, unless no connection was made.
func commandError(err error) error {
	var response *adminError
	var op *net.OpError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &response) && response.status < http.StatusInternalServerError:
		return &Error{Code: ExitRefused, Err: err}
	case errors.As(err, &op) && op.Op == "dial":
		return eris.Wrap(err, "nothing was changed")
	default:
		return &Error{Code: ExitUnknown, Err: eris.Wrap(err, "unknown whether the daemon carried it out")}
	}
}

// daemonFlag names the daemon that a command talks to.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "daemon", Required: true, Usage: "admin address `IP:PORT` of the daemon", Validator: checkAdminAddress,
	}
}

func checkAdminAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is not an admin address; allowed is IP:PORT", s)
	}
	return nil
}
