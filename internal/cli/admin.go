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
	"guavapoint.example/guavapoint/internal/httpcheck"
)

const (
	// adminTimeout bounds one request to an admin listener. It is many times the round trip between regions (60 ms).
	adminTimeout = 2 * time.Second
	// maxAdminResponse bounds the size of a response in bytes. The largest response is the state at the target size:
	// 6,300 members of about 250 bytes and 10,000 fingerprints of about 100 bytes.
	maxAdminResponse = 8 << 20
)

// adminHTTP ignores proxy environment variables, because admin addresses are inside the deployment.
var adminHTTP = &http.Client{Transport: httpcheck.Checked(&http.Transport{})}

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

// adminClient sends requests to the admin listener of one daemon.
type adminClient struct {
	address string // IP:PORT
}

// call sends a request without a body and decodes the JSON response into result, unless that is nil. A response with a
// status of 300 or above is returned as an error with an *adminError in its chain.
func (a adminClient) call(ctx context.Context, method, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "daemon %s: create the request %s %s", a.address, method, path)
	}
	resp, err := adminHTTP.Do(req)
	if err != nil {
		return eris.Wrapf(err, "daemon %s", a.address) // err names the method and the URL
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponse))
	if err != nil {
		return eris.Wrapf(err, "daemon %s: read the response to %s %s", a.address, method, path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrapf(newAdminError(resp.StatusCode, body), "daemon %s: %s %s", a.address, method, path)
	}
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(body, result), "daemon %s: decode the response to %s %s", a.address, method, path)
}

func newAdminError(status int, body []byte) error {
	var response struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	_ = json.Unmarshal(body, &response) // a response of another kind of server has no code; Error then prints the status
	return &adminError{status: status, code: response.Code, message: response.Message}
}

func (a adminClient) state(ctx context.Context) (daemon.State, error) {
	var s daemon.State
	err := a.call(ctx, http.MethodGet, "/state", &s)
	return s, err
}

// config returns the version and the document in effect; the document is nil if the daemon has none.
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
	return v, doc, eris.Wrapf(err, "daemon %s: parse the configuration", a.address)
}

func (a adminClient) drain(ctx context.Context) (daemon.DrainResponse, error) {
	var resp daemon.DrainResponse
	err := a.call(ctx, http.MethodPost, "/drain", &resp)
	return resp, err
}

func (a adminClient) lift(ctx context.Context, fingerprint string) error {
	return a.call(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(fingerprint), nil)
}

// commandError adds an exit code to the error of a request that changes a daemon: ExitRefused if the daemon responded
// with a status below 500, and ExitInternal if no connection was opened. In all other cases it is not known whether the
// daemon carried out the request, and the code is ExitUnknown.
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

// daemonFlag returns the flag with the address of the one daemon to which a command sends its requests.
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
