package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/connection"
	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/plan"
)

// Environment variables that are used if the flag is not set.
const (
	envOperator  = "LYCHEEHOOK_OPERATOR"
	envToken     = "LYCHEEHOOK_TOKEN"
	envTokenFile = "LYCHEEHOOK_TOKEN_FILE"
	envCA        = "LYCHEEHOOK_CA"
)

const (
	operatorTimeout     = 10 * time.Second
	operatorDialTimeout = 2 * time.Second
	maxAnswerSize       = 64 << 20
)

// answerError is an error response of an entry host.
type answerError struct {
	Status   int `json:"-"`
	Code     string
	Reason   string
	Faults   []document.Fault
	Revision uint64
	// Conflicts are the entries changed both by the edit and by others since its base. Changes are the changes of the edit.
	Conflicts []plan.Conflict
	Changes   []plan.Change
}

// Error implements error.
func (e *answerError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Code, e.Reason)
	if len(e.Faults) > 0 {
		b.WriteString("\n" + document.Text(e.Faults))
	}
	if e.Revision > 0 {
		fmt.Fprintf(&b, "\nrevision %d is in force", e.Revision)
	}
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n! %s: in force %s, edited to %s", c.Path, c.Ours, c.Theirs)
	}
	for _, c := range e.Changes {
		b.WriteString("\n" + c.String())
	}

	return b.String()
}

func (e *answerError) exitCode() exitCode {
	if c, ok := answerCodes[e.Code]; ok {
		return c
	}

	return exitFailure
}

// clientFlags are the flags of commands that use the operators' API.
type clientFlags struct {
	addresses []string
	token     string
	tokenFile string
	ca        string
	output    string
	process   environment
}

func (f *clientFlags) add(cmd *cobra.Command) {
	fl := cmd.PersistentFlags()
	fl.StringSliceVar(&f.addresses, "operator", nil,
		"operators' address of an entry host, as IP:port; repeat for several (or "+envOperator+", comma-separated)")
	fl.StringVar(&f.token, "token", "", "operator's token (better: "+envToken+" or --token-file)")
	fl.StringVar(&f.tokenFile, "token-file", "", "file with the operator's token (or "+envTokenFile+")")
	fl.StringVar(&f.ca, "ca", "", "file with the CA certificate of the entry hosts, for TLS (or "+envCA+")")
	fl.StringVarP(&f.output, "output", "o", outputTable, "output format: table or json")
}

func (f *clientFlags) orEnv(value, name string) string {
	if value == "" {
		return f.process.getenv(name)
	}

	return value
}

// client is a client of the operators' API.
type client struct {
	addresses []netip.AddrPort
	scheme    string
	token     string
	http      *http.Client
}

func (f *clientFlags) client() (*client, error) {
	if err := checkOutput(f.output); err != nil {
		return nil, err
	}
	c := &client{scheme: "http"}
	addresses := f.addresses
	if env := f.process.getenv(envOperator); len(addresses) == 0 && env != "" {
		addresses = strings.Split(env, ",")
	}
	for _, text := range addresses {
		a, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, merry.Prependf(errUsage, "--operator %q is not an IP address with a port", text)
		}
		c.addresses = append(c.addresses, a)
	}
	if len(c.addresses) == 0 {
		return nil, merry.Prependf(errUsage, "no entry host named, use --operator or %s", envOperator)
	}

	var err error
	if c.token, err = f.readToken(); err != nil {
		return nil, err
	}

	return c, c.secure(f.orEnv(f.ca, envCA))
}

func (f *clientFlags) readToken() (string, error) {
	token := f.orEnv(f.token, envToken)
	if path := f.orEnv(f.tokenFile, envTokenFile); token == "" && path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return "", merry.Prependf(errUsage, "--token-file: %v", err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return "", merry.Prependf(errUsage, "no operator's token, use %s or --token-file", envToken)
	}

	return token, nil
}

func (c *client) secure(ca string) error {
	dialer := &net.Dialer{Timeout: operatorDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	c.http = &http.Client{Transport: transport, Timeout: operatorTimeout}
	if ca == "" {
		return nil
	}

	s, err := cert.New(cert.Files{CA: ca})
	if err != nil {
		return merry.Prependf(errUsage, "--ca: %v", err)
	}
	c.scheme = "https"
	transport.TLSClientConfig = s.Client("")

	return nil
}

// get requests path from the entry hosts, one at a time, until one responds.
func (c *client) get(ctx context.Context, path string, answer any) error {
	var err error
	for _, a := range c.addresses {
		if err = c.do(ctx, a, http.MethodGet, path, nil, answer); !errors.Is(err, errUnavailable) && !errors.Is(err, errUnknown) {
			return err
		}
	}

	return merry.Prepend(errUnavailable, err.Error())
}

// change sends a change. It tries the next entry host only if the change was certainly not applied.
func (c *client) change(ctx context.Context, method, path string, request, answer any) error {
	var err error
	for _, a := range c.addresses {
		if err = c.do(ctx, a, method, path, request, answer); !errors.Is(err, errUnavailable) {
			return err
		}
	}

	return err
}

// do sends a request to an entry host. A failed dial is errUnavailable, any later failure errUnknown.
func (c *client) do(ctx context.Context, to netip.AddrPort, method, path string, request, answer any) error {
	var body io.Reader = http.NoBody
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+to.String()+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if request != nil {
		r.Header.Set("Content-Type", "application/json")
	}

	resp, err := c.http.Do(r)
	if err != nil {
		if connection.DialFailed(err) {
			return merry.Prependf(errUnavailable, "%s: %v", to, err)
		}

		return merry.Prependf(errUnknown, "%s: %v", to, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return merry.Prependf(errUnknown, "%s: %v", to, err)
	}

	return decodeAnswer(to, resp.StatusCode, data, answer)
}

func decodeAnswer(from netip.AddrPort, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return merry.Prependf(errUnknown, "%s: malformed response: %v", from, err)
		}

		return nil
	}

	e := &answerError{Status: status}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return merry.Prependf(errUnknown, "%s: status %d: %s", from, status, data)
	}

	return e
}
