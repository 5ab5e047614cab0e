package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"sedgevale/internal/system/rpc"
)

// callTimeout is the timeout of a call to a running system.
const callTimeout = 5 * time.Second

// withInput calls use with the content of a file, or with standard input if the name is empty.
func withInput(file string, use func(io.Reader) error) error {
	if file == "" {
		return use(os.Stdin)
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }() // the file was only read, and an HTTP request has closed it already
	return use(in)
}

// inputName returns the name of an input as messages print it.
func inputName(file string) string {
	if file == "" {
		return "standard input"
	}
	return file
}

// callHTTP sends an HTTP request and prints the body of the response, or the status if the body is empty. An empty host
// leaves the Host of the URL, and an empty ifMatch omits the If-Match header. A status other than 2xx is an error.
func callHTTP(method, url, host, ifMatch string, body io.Reader) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	text := strings.TrimSpace(string(content))
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	if text == "" {
		text = response.Status
	}
	_, err = fmt.Println(text)
	return err
}

// coreFlags select a core scheduler by the address at which other schedulers call it, the first port of its port_range.
type coreFlags struct {
	Core string `arg:"--core,required" placeholder:"HOST:PORT" help:"A core scheduler, at the first port of its port_range."`
}

// call calls an RPC method of the core scheduler.
func (f coreFlags) call(method string, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return rpc.NewClient(rpc.DialTCP()).Call(ctx, f.Core, method, request, response)
}
