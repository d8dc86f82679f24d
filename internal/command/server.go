package command

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/client"
)

const (
	flagServer  = "server"
	flagKeyFile = "key-file"
	flagCAFile  = "ca-file"

	defaultServer = "http://127.0.0.1:8080"
	// callTimeout is the timeout for one call of an entry host.
	callTimeout = 30 * time.Second
	// maxKeyFileBytes is the maximum size of a file with a bearer key.
	maxKeyFileBytes = 4 << 10
)

// serverFlags returns the command's own flags, followed by those of each command
// that calls an entry host.
func serverFlags(own ...cli.Flag) []cli.Flag {
	return append(own,
		&cli.StringFlag{Name: flagServer, Usage: "`URL` of any entry host", Value: defaultServer, Validator: checkServer},
		&cli.StringFlag{Name: flagKeyFile, Usage: "`FILE` with your bearer key"},
		&cli.StringFlag{Name: flagCAFile, Usage: "`FILE` with the certificate to trust"},
		formatFlag(),
	)
}

func checkServer(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("server is %q; allowed is an address such as %s", text, defaultServer)
	}
	return nil
}

// newClient returns a client of the entry host that the flags name.
func newClient(cmd *cli.Command) (*client.Client, error) {
	base, err := url.Parse(cmd.String(flagServer))
	if err != nil {
		return nil, err
	}
	key, err := readKey(cmd.String(flagKeyFile))
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(cmd.String(flagCAFile))
	if err != nil {
		return nil, err
	}
	return client.New(base, key, &http.Client{
		Transport: transport,
		Timeout:   callTimeout,
		// Following a redirect could send the bearer key to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}), nil
}

func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if caFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig.RootCAs = x509.NewCertPool()
	if !transport.TLSClientConfig.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", caFile)
	}
	return transport, nil
}

// readKey reads a bearer key from a file. Without a file name it returns an empty
// key.
func readKey(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	return parseKey(file)
}

func parseKey(r io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxKeyFileBytes+1))
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(data))
	switch {
	case len(data) > maxKeyFileBytes:
		return "", fmt.Errorf("the key file is larger than %d bytes", maxKeyFileBytes)
	case key == "":
		return "", errors.New("the key file is empty")
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return "", errors.New("the key has a character other than printable ASCII")
	}
	return key, nil
}
