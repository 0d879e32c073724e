package main

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Names of headers. Only the folder platform holds them as text; they are read from what
// its packages write.
var headerAttempt, headerDeadline, headerNotRun, headerSigned, headerExpected, headerCaller, headerInstance, headerLoad string

// learnNames sets the names of the headers.
func learnNames() error {
	var sent fasthttp.RequestHeader
	standin.SetAttempt(&sent, "attempt")
	karpithaz.SetTargetHeaders(&sent, karpithaz.TargetRequest{TimeLeft: 1234 * time.Millisecond, Target: "target", CallerService: "caller"})
	for name, value := range sent.All() {
		switch string(value) {
		case "attempt":
			headerAttempt = string(name)
		case "1234":
			headerDeadline = string(name)
		case "target":
			headerExpected = string(name)
		case "caller":
			headerCaller = string(name)
		}
	}
	var shed fasthttp.ResponseHeader
	standin.WriteShed(&shed)
	for name, value := range shed.All() {
		if string(value) == "1" {
			headerNotRun = string(name)
		}
	}
	_, line, _ := strings.Cut(standin.SignedHead, "\r\n")
	headerSigned, _, _ = strings.Cut(line, ":")
	const id, slots = "target", 3
	addr, err := freeport.On(subnet() + ".200")
	if err != nil {
		return err
	}
	t, err := standin.StartTarget(id, "service", addr, slots, 0)
	if err != nil {
		return err
	}
	defer t.Close()
	resp, err := http.Get("http://" + addr + "/health")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for name := range resp.Header {
		switch resp.Header.Get(name) {
		case id:
			headerInstance = name
		case "0,0,3":
			headerLoad = name
		}
	}
	for _, name := range []string{headerAttempt, headerDeadline, headerNotRun, headerSigned, headerExpected, headerCaller, headerInstance, headerLoad} {
		if name == "" {
			return errors.New("a header that the stand-ins need is not written by the packages of the platform any more")
		}
	}
	return nil
}
