// Package nodes asks many nodes the same question over their operators'
// address. A node that does not answer is part of the result, since the nodes
// that can't be reached are often the ones an operator is looking for.
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
	// askTimeout bounds one answer.
	askTimeout = 3 * time.Second
	// maxAsked is how many nodes are asked at a time.
	maxAsked = 64
	// maxAnswerBytes bounds one answer: a status at 1,600 members takes about
	// 500 KB.
	maxAnswerBytes = 16 << 20
)

// Answer is one node's answer or why there is none.
type Response[T any] struct {
	Address string `json:"address"`
	Problem string `json:"problem,omitempty"`
	Value   T      `json:"value"`
}

// Ask gets path from each node and returns the answers in the order of the
// addresses.
func Fetch[T any](ctx context.Context, addresses []string, path string) []Response[T] {
	client := &http.Client{Timeout: askTimeout}
	answers := make([]Response[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i].Address = address
			if err := get(ctx, client, "http://"+address+path, &answers[i].Value); err != nil {
				answers[i].Problem = err.Error()
			}
			return nil
		})
	}
	// The functions above return no error.
	_ = group.Wait()
	return answers
}

func get(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.New("unreachable: " + lastPart(err.Error()))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("answered %d; is this the operators' address?", response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	return errors.Wrap(decoder.Decode(value), "answer can't be read; is this the operators' address?")
}

// lastPart drops the method and URL that net/http puts before the cause: the
// address stands on the line already.
func lastPart(text string) string {
	if cut := strings.LastIndex(text, "\": "); cut >= 0 {
		return text[cut+len("\": "):]
	}
	return text
}

// AddFlag declares the flag that names a file of addresses.
func AddFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "nodes", "", "file with one operators' address (IP:PORT) a line; '#' begins a comment")
}

// Addresses returns those of the arguments and of the file together, checked.
func Addresses(args []string, file string) ([]string, error) {
	addresses := args
	if file != "" {
		listed, err := readList(file)
		if err != nil {
			return nil, errors.Wrap(err, "--nodes")
		}
		addresses = append(addresses, listed...)
	}
	if len(addresses) == 0 {
		return nil, errors.New("name at least one operators' address, or a file of them with --nodes")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Errorf("%q is no address; write IP:PORT", address)
		}
	}
	return addresses, nil
}

func readList(file string) ([]string, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	var listed []string
	lines := bufio.NewScanner(opened)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if line = strings.TrimSpace(line); line != "" {
			listed = append(listed, line)
		}
	}
	return listed, lines.Err()
}
