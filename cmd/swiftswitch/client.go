package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"swiftswitch/internal/transport"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const (
	// defaultCallTimeout is how long an operator's call waits by default,
	// defaultStatusTimeout how long a status call does.
	defaultCallTimeout   = 10 * time.Second
	defaultStatusTimeout = 5 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
)

// nodeClient sends the operator's calls to a node. Its fields are set by flags.
type nodeClient struct {
	address string
	timeout time.Duration
}

// addFlags adds --node, which is required, and --timeout.
func (n *nodeClient) addFlags(flags *pflag.FlagSet) {
	flags.StringVar(&n.address, "node", "", "address of any node (host:port of its control address or of the port between nodes)")
	_ = cobra.MarkFlagRequired(flags, "node") // it exists
	addTimeoutFlag(flags, &n.timeout, defaultCallTimeout)
}

func addTimeoutFlag(flags *pflag.FlagSet, timeout *time.Duration, value time.Duration) {
	flags.DurationVar(timeout, "timeout", value, "how long to wait for the answer, such as 500ms or 10s")
	addDeprecated(flags, "within", "timeout")
}

// call sends one of the operator's calls. Only status 200 is a success.
func (n *nodeClient) call(method, path string, header map[string]string, body []byte) (transport.Response, error) {
	client := transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: 1,
		IdleTimeout:    n.timeout,
		TCPUserTimeout: n.timeout,
		MaxBodyBytes:   maxAnswerBytes,
	})
	answer, err := client.Do(n.address, method, path, header, body, n.timeout)
	if err != nil {
		return answer, &exitError{exitRemote, fmt.Errorf("%s can't be reached: %w; try another node", n.address, err)}
	}
	if answer.Status != 200 {
		return answer, &exitError{exitRemote, fmt.Errorf("%s answered %d: %s", n.address, answer.Status, answer.Body)}
	}
	return answer, nil
}

// readFile reads a file, or standard input where the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
