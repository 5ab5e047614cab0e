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

// callTimeout bounds a call to a running system.
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
	defer func() { _ = in.Close() }() // only read; an HTTP call has closed it already
	return use(in)
}

// inputName returns the name of an input for messages.
func inputName(file string) string {
	if file == "" {
		return "standard input"
	}
	return file
}

// call makes an HTTP call and prints the body of the response, or its status if there is none. The host and the If-Match
// header are left out if they are empty. A status that is not 2xx is an error.
func call(method, url, host, ifMatch string, body io.Reader) error {
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
	text, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	answer := strings.TrimSpace(string(text))
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, answer)
	}
	if answer == "" {
		answer = response.Status
	}
	_, err = fmt.Println(answer)
	return err
}

// coreFlags name a core scheduler by the address at which other schedulers call it.
type coreFlags struct {
	Core string `arg:"--core,required" placeholder:"HOST:PORT" help:"A core scheduler, at the first port of its port_range."`
}

// call calls a method of the core scheduler.
func (f coreFlags) call(method string, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return rpc.NewClient(rpc.DialTCP()).Call(ctx, f.Core, method, request, response)
}
