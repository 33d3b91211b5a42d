// Package nodes sends the same request to the operators' addresses of many nodes.
// A node that does not respond is part of the result: unreachable nodes are often
// the ones that an operator is looking for.
package nodes

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

const (
	// requestTimeout is the timeout of the request to one node.
	requestTimeout = 3 * time.Second
	// maxConcurrent is the number of requests sent at a time.
	maxConcurrent = 64
	// maxResponseBytes limits one response. A status with 1,600 members takes
	// about 500 KB.
	maxResponseBytes = 16 << 20
)

// Response is the response of one node, or the problem that prevented it.
type Response[T any] struct {
	Address string `json:"address"`
	Problem string `json:"problem,omitempty"`
	Value   T      `json:"value"`
}

// Fetch requests path from each node and returns the responses in the order of the
// addresses.
func Fetch[T any](ctx context.Context, addresses []string, path string) []Response[T] {
	client := &http.Client{Timeout: requestTimeout}
	responses := make([]Response[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, address := range addresses {
		group.Go(func() error {
			responses[i].Address = address
			if err := get(ctx, client, "http://"+address+path, &responses[i].Value); err != nil {
				responses[i].Problem = err.Error()
			}
			return nil
		})
	}
	// The functions above return no error.
	_ = group.Wait()
	return responses
}

func get(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.New("unreachable: " + trimURL(err.Error()))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d; is this the operators' address?", response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	return errors.Wrap(decoder.Decode(value), "invalid response; is this the operators' address?")
}

// trimURL removes the method and URL that net/http puts before the cause: the
// address is on the output line already.
func trimURL(text string) string {
	if cut := strings.LastIndex(text, "\": "); cut >= 0 {
		return text[cut+len("\": "):]
	}
	return text
}

// AddFlag declares the --nodes flag, which names a file of addresses.
func AddFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "nodes", "", "file with one operators' address (IP:PORT) a line; '#' begins a comment")
}

// Addresses returns the addresses of the arguments and of the file, if one is
// named, and an error if one is not valid or there are none.
func Addresses(args []string, file string) ([]string, error) {
	addresses := args
	if file != "" {
		fromFile, err := readAddresses(file)
		if err != nil {
			return nil, errors.Wrap(err, "--nodes")
		}
		addresses = append(addresses, fromFile...)
	}
	if len(addresses) == 0 {
		return nil, errors.New("name at least one operators' address, or a file of them with --nodes")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Errorf("%q is not an address; write IP:PORT", address)
		}
	}
	return addresses, nil
}

func readAddresses(file string) ([]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var addresses []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if line = strings.TrimSpace(line); line != "" {
			addresses = append(addresses, line)
		}
	}
	return addresses, lines.Err()
}
