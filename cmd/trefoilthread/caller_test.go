package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// caller is the command of a caller in sessions. It prints status, outcome and
// the target that answered, or the reason of a failure.
func caller() {
	key := flag.String("key", "", "idempotency key")
	method := flag.String("method", "GET", "method")
	timeout := flag.String("timeout", "5s", "deadline of the call")
	save := flag.String("save", "", "file for the body")
	flag.Parse()
	if err := call(*method, flag.Arg(0), *key, *timeout, *save); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func call(method, url, key, timeout, save string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(""))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("Trefoil-Timeout", timeout)
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if save != "" {
		if err := os.WriteFile(save, body, 0o666); err != nil {
			return err
		}
	}
	text := "from " + resp.Header.Get("Trefoil-Target")
	if outcome := resp.Header.Get("Trefoil-Outcome"); outcome != "done" {
		text = string(body)
	}
	_, err = fmt.Println(resp.StatusCode, resp.Header.Get("Trefoil-Outcome"), strings.TrimSpace(text))
	return err
}
